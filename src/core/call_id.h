#pragma once

#include <cstdint>
#include <utility>

namespace teaselward
{

/** Identifies a pending remote call at an agent. */
struct call_id {
    std::uint64_t value = 0;

    friend bool operator==(const call_id &, const call_id &) = default;

    template<typename H>
    friend H AbslHashValue(H state, const call_id &value)
    {
        return H::combine(std::move(state), value.value);
    }
};

} // namespace teaselward
