#pragma once

#include <cstdint>
#include <utility>

namespace teaselward
{

/** Incarnation of an agent process; a restarted agent has a new one. */
struct agent_id {
    std::uint64_t value = 0;

    friend bool operator==(const agent_id &, const agent_id &) = default;

    template<typename H>
    friend H AbslHashValue(H state, const agent_id &value)
    {
        return H::combine(std::move(state), value.value);
    }
};

} // namespace teaselward
