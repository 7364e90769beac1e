#pragma once

#include <compare>
#include <cstdint>
#include <utility>

namespace teaselward
{

/**
 * Identifies one incarnation of an entry. An entry is a process that faces callers and owns jobs. An incarnation is one run of a
 * process, identified by a random number; a restarted process is a new incarnation.
 */
struct entry_id {
    std::uint64_t value = 0;

    friend bool operator==(const entry_id &, const entry_id &) = default;
    friend auto operator<=>(const entry_id &, const entry_id &) = default;

    template<typename H>
    friend H AbslHashValue(H state, const entry_id &value)
    {
        return H::combine(std::move(state), value.value);
    }
};

} // namespace teaselward
