#pragma once

#include <cstdint>
#include <utility>

namespace teaselward
{

/** Identifies one incarnation of an entry process. A restarted entry gets a new one. */
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
