#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace teaselward
{

/** Identifies a run at an endpoint. Job and index identify the task; a later run of the same task has a higher attempt. */
struct run_id {
    std::string job; ///< Identifier chosen by the caller.
    std::uint32_t index = 0; ///< Position of the task in its job.
    std::uint32_t attempt = 1;

    friend bool operator==(const run_id &, const run_id &) = default;
    friend auto operator<=>(const run_id &, const run_id &) = default;

    template<typename H>
    friend H AbslHashValue(H state, const run_id &value)
    {
        return H::combine(std::move(state), value.job, value.index, value.attempt);
    }
};

} // namespace teaselward
