#pragma once

#include <compare>
#include <cstdint>
#include <utility>

namespace teaselward
{

/** Identifies a ticket across all incarnations of all entries. */
struct ticket_id {
    std::uint64_t incarnation = 0; ///< Incarnation of the home entry.
    std::uint64_t sequence = 0; ///< Number of the ticket within that incarnation.

    friend bool operator==(const ticket_id &, const ticket_id &) = default;
    friend auto operator<=>(const ticket_id &, const ticket_id &) = default;

    template<typename H>
    friend H AbslHashValue(H state, const ticket_id &value)
    {
        return H::combine(std::move(state), value.incarnation, value.sequence);
    }
};

} // namespace teaselward
