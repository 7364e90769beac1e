#pragma once

#include "core/ticket_id.h"

#include <compare>
#include <cstdint>
#include <utility>

namespace teaselward
{

/** Identifies one task of one ticket. */
struct task_id {
    ticket_id ticket;
    std::uint32_t index = 0; ///< Position of the task in its job.
    std::uint32_t attempt = 0; ///< Number of the placement, from 1; zero for a task that may start at most once.

    friend bool operator==(const task_id &, const task_id &) = default;
    friend auto operator<=>(const task_id &, const task_id &) = default;

    template<typename H>
    friend H AbslHashValue(H state, const task_id &value)
    {
        return H::combine(std::move(state), value.ticket, value.index, value.attempt);
    }
};

} // namespace teaselward
