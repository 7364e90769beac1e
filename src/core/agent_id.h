#pragma once

#include <compare>
#include <cstdint>
#include <utility>

namespace teaselward
{

/**
 * Identifies one incarnation of an agent. An agent is the process beside an endpoint that records starts and calls the endpoint.
 * An incarnation is one run of a process, identified by a random number; a restarted process is a new incarnation.
 */
struct agent_id {
    std::uint64_t value = 0;

    friend bool operator==(const agent_id &, const agent_id &) = default;
    friend auto operator<=>(const agent_id &, const agent_id &) = default;

    template<typename H>
    friend H AbslHashValue(H state, const agent_id &value)
    {
        return H::combine(std::move(state), value.value);
    }
};

} // namespace teaselward
