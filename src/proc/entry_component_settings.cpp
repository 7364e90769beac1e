#include "proc/entry_component_settings.h"

#include "proc/incarnation.h"

#include <chrono>

namespace teaselward
{

namespace
{

// Time that a run may go on after the lease of its home's session: the bound of a stop, the lease of the worker at a slow clock, and a margin.
constexpr std::chrono::milliseconds RunEndAllowance{850};

} // namespace

entry_info makeEntryInfo(const entry_settings &settings)
{
    return entry_info{entry_id{makeIncarnation()}, settings.peersListen, settings.failureDomain};
}

entry_core_settings entryCoreSettings(const entry_settings &settings, const entry_info &self)
{
    entry_core_settings result;
    result.self = self;
    result.ticketLifetime = settings.ticketLifetime;
    result.sessionLease = settings.lease;
    result.lostRunTimeout = settings.lease + RunEndAllowance;
    result.strategy = settings.strategy;
    result.startupWait = settings.startupWait;
    result.separateKinds = settings.separateKinds;
    result.seed = self.id.value;
    return result;
}

front_end_settings frontEndSettings(const entry_settings &settings)
{
    front_end_settings result;
    result.listen = settings.callersListen;
    result.adminListen = settings.operatorsListen;
    result.adminToken = settings.operatorsToken;
    result.ticketKey = settings.ticketKey;
    result.bodyLimit = settings.bodyLimit;
    result.drainBound = settings.drainBound;
    result.connectionLimit = settings.connectionLimit;
    result.idleTimeout = settings.idleTimeout;
    return result;
}

entry_rpc_settings entryRpcSettings(const entry_settings &settings, const entry_info &self, snapshot_source &snapshots)
{
    entry_rpc_settings result;
    result.self = self;
    result.peers = settings.peers;
    result.snapshots = &snapshots;
    result.lease = settings.lease;
    result.heartbeat = settings.heartbeat;
    return result;
}

platform_front_end_settings platformFrontEndSettings(const entry_settings &settings)
{
    platform_front_end_settings result;
    result.listen = settings.platformFront;
    result.readiness = settings.platformReadiness;
    return result;
}

config_follower_settings followerSettings(const entry_settings &settings)
{
    config_follower_settings result;
    result.stream = settings.logStream;
    result.retention = settings.logRetention;
    return result;
}

} // namespace teaselward
