#pragma once

#include <cstdint>
#include <utility>

namespace teaselward
{

/** Incarnation of an entry process; a restarted entry has a new one. */
struct entry_id {
    std::uint64_t value = 0;

    friend bool operator==(const entry_id &, const entry_id &) = default;

    template<typename H>
    friend H AbslHashValue(H state, const entry_id &value)
    {
        return H::combine(std::move(state), value.value);
    }
};

} // namespace teaselward
