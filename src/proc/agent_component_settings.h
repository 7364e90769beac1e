#pragma once

#include "agent/agent_core_settings.h"
#include "core/agent_info.h"
#include "http/endpoint_client_settings.h"
#include "rpc/agent_rpc_settings.h"
#include "settings/agent_settings.h"

namespace teaselward
{

/**
 * Builds the announcement of a new incarnation of the agent, with a random identifier.
 * @param settings settings of the process
 */
agent_info makeAgentInfo(const agent_settings &settings);

/**
 * Returns the settings of the agent core.
 * @param settings settings of the process
 * @param self announcement of this incarnation
 */
agent_core_settings agentCoreSettings(const agent_settings &settings, const agent_info &self);

/**
 * Returns the settings of the endpoint client.
 * @param settings settings of the process
 */
endpoint_client_settings endpointClientSettings(const agent_settings &settings);

/**
 * Returns the settings of the RPC adapter, which connects to the entries.
 * @param settings settings of the process
 * @param self announcement of this incarnation
 */
agent_rpc_settings agentRpcSettings(const agent_settings &settings, const agent_info &self);

} // namespace teaselward
