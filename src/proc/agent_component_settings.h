#pragma once

#include "agent/agent_core_settings.h"
#include "core/agent_info.h"
#include "http/endpoint_client_settings.h"
#include "rpc/agent_rpc_settings.h"
#include "settings/agent_settings.h"

namespace teaselward
{

/**
 * Makes the announcement of a new incarnation.
 * @param settings settings of the process
 */
agent_info makeAgentInfo(const agent_settings &settings);

/**
 * Selects the settings of the decisions.
 * @param settings settings of the process
 * @param self announcement of this incarnation
 */
agent_core_settings agentCoreSettings(const agent_settings &settings, const agent_info &self);

/**
 * Selects the settings of the calls to the endpoint.
 * @param settings settings of the process
 */
endpoint_client_settings endpointClientSettings(const agent_settings &settings);

/**
 * Selects the settings of the connections to the entries.
 * @param settings settings of the process
 * @param self announcement of this incarnation
 */
agent_rpc_settings agentRpcSettings(const agent_settings &settings, const agent_info &self);

} // namespace teaselward
