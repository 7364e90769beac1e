#include "proc/agent_component_settings.h"

#include "proc/incarnation.h"

namespace teaselward
{

agent_info makeAgentInfo(const agent_settings &settings)
{
    agent_info info;
    info.id = agent_id{makeIncarnation()};
    info.address = settings.endpointAddress;
    info.failureDomain = settings.failureDomain;
    info.slots = settings.slots;
    info.connections = settings.connections;
    info.kinds = settings.kinds;
    return info;
}

agent_core_settings agentCoreSettings(const agent_settings &settings, const agent_info &self)
{
    agent_core_settings result;
    result.self = self;
    result.retention = settings.retention;
    result.watchInterference = settings.watchInterference;
    result.exactSlots = settings.exactSlots;
    return result;
}

endpoint_client_settings endpointClientSettings(const agent_settings &settings)
{
    endpoint_client_settings result;
    result.address = settings.endpointAddress;
    result.connections = settings.connections;
    result.connectTimeout = settings.connectTimeout;
    result.resultLimit = settings.resultLimit;
    return result;
}

agent_rpc_settings agentRpcSettings(const agent_settings &settings, const agent_info &self)
{
    agent_rpc_settings result;
    result.self = self;
    result.entries = settings.entries;
    result.lease = settings.lease;
    result.heartbeat = settings.heartbeat;
    result.reconnectLimit = settings.reconnectLimit;
    result.sessionTarget = settings.sessions;
    return result;
}

} // namespace teaselward
