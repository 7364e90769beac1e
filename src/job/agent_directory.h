#pragma once

#include "core/agent_id.h"
#include "core/agent_info.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace teaselward
{

/** Connected agents, and the latest incarnation at each address. */
class agent_directory
{
public:
    /**
     * Records a registration.
     * @param info description that the agent registered with
     * @return the previous incarnation at the same address if the new one is known to have taken its place. It is not known if the
     * registration of an earlier incarnation may have arrived late.
     */
    std::optional<agent_id> join(const agent_info &info);

    /**
     * Removes an agent whose connection is lost or that is shutting down.
     * @param agent the agent
     */
    void leave(const agent_id &agent);

    /**
     * Returns the connected agents in round-robin order.
     * @return the next agent, or nothing if none is connected
     */
    std::optional<agent_id> nextConnected();

private:
    absl::flat_hash_map<std::string, agent_info> m_byAddress;
    absl::flat_hash_map<agent_id, std::size_t> m_positions; ///< Position of each agent in m_connected.
    std::vector<agent_id> m_connected;
    std::size_t m_next = 0;
};

} // namespace teaselward
