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

/** Connected agents, and which incarnation was last seen at each address. */
class agent_directory
{
public:
    /**
     * Records a registration.
     * @param info announcement of the agent
     * @return the former incarnation if another one was last seen at the same address
     */
    std::optional<agent_id> join(const agent_info &info);

    /**
     * Records that the connection to an agent is lost, or that it is leaving.
     * @param agent the agent
     */
    void leave(const agent_id &agent);

    /**
     * Returns the connected agents one after the other.
     * @return the next one, or nothing if none is connected
     */
    std::optional<agent_id> nextConnected();

private:
    absl::flat_hash_map<std::string, agent_id> m_byAddress;
    absl::flat_hash_map<agent_id, std::size_t> m_positions; ///< Position of each agent in m_connected.
    std::vector<agent_id> m_connected;
    std::size_t m_next = 0;
};

} // namespace teaselward
