#pragma once

#include <cstdint>
#include <utility>

namespace teaselward
{

/** Identifies one incarnation of an agent process. A restarted agent gets a new one. */
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
