#include "settings/settings_tables.h"

#include <array>

namespace teaselward
{

namespace
{

using entry_row = setting_spec<entry_settings>;
using agent_row = setting_spec<agent_settings>;
using format = setting_format;

constexpr std::int64_t Second = 1000;
constexpr std::int64_t Minute = 60 * Second;
constexpr std::int64_t Hour = 60 * Minute;
constexpr std::int64_t MaxBytes = 64 << 20;
// The platform allows starts for 2 s after a notice, and a start that waits in the agent is sent up to 600 ms later.
constexpr std::int64_t MaxStartWindow = 1400;

const std::array EntryTable = {
    entry_row{"process.role", format::text, &entry_settings::role, true, 0, 0, "entry"},
    entry_row{"process.failure_domain", format::text, &entry_settings::failureDomain, true, 0, 0, "failure domain of this VM"},
    entry_row{"process.log_decisions", format::flag, &entry_settings::logDecisions, false, 0, 0, "write a line for each decision"},
    entry_row{"callers.listen", format::address, &entry_settings::callersListen, true, 0, 0, "address for callers"},
    entry_row{"callers.body_limit", format::number, &entry_settings::bodyLimit, false, 1024, MaxBytes, "bytes of one request"},
    entry_row{"callers.connection_limit", format::number, &entry_settings::connectionLimit, false, 1, 65536, "connections at once"},
    entry_row{"callers.idle_timeout", format::duration, &entry_settings::idleTimeout, false, Second, Hour, "closes a connection without traffic"},
    entry_row{"operators.listen", format::address, &entry_settings::operatorsListen, false, 0, 0, "address for operators; none if absent"},
    entry_row{"operators.token", format::text, &entry_settings::operatorsToken, false, 0, 0, "bearer token; required unless the address is loopback"},
    entry_row{"peers.listen", format::address, &entry_settings::peersListen, true, 0, 0, "address for agents and entries"},
    entry_row{"peers.entries", format::addresses, &entry_settings::peers, false, 0, 0, "other entries"},
    entry_row{"peers.lease", format::duration, &entry_settings::lease, false, 200, Minute, "a session without a message for this time is lost"},
    entry_row{"peers.heartbeat", format::duration, &entry_settings::heartbeat, false, 50, Minute, "sent after this time without another message"},
    entry_row{"tickets.key", format::text, &entry_settings::ticketKey, true, 0, 0, "secret shared by all entries"},
    entry_row{"tickets.lifetime", format::duration, &entry_settings::ticketLifetime, false, Second, 10 * Minute, "time in which a ticket may be used"},
    entry_row{"log.url", format::text, &entry_settings::logUrl, false, 0, 0, "URL of the platform log"},
    entry_row{"log.stream", format::text, &entry_settings::logStream, false, 0, 0, "stream of the configuration"},
    entry_row{"log.retention", format::duration, &entry_settings::logRetention, false, Minute, 8760 * Hour, "time that the platform keeps records"},
    entry_row{"drain.bound", format::duration, &entry_settings::drainBound, false, 0, Hour, "longest graceful shutdown"},
    entry_row{"drain.accept", format::duration, &entry_settings::drainAccept, false, 0, Hour, "time in which a stopping entry still accepts jobs"},
    entry_row{"platform.store", format::address, &entry_settings::platformStore, false, 0, 0, "store of the users' platform; it replaces the log"},
    entry_row{"platform.front", format::address, &entry_settings::platformFront, false, 0, 0, "address for the clients of the platform"},
    entry_row{"platform.readiness", format::address, &entry_settings::platformReadiness, false, 0, 0, "address for the balancer of the platform"},
    entry_row{"placement.startup_wait", format::duration, &entry_settings::startupWait, false, 0, Minute, "time after the start in which jobs wait for agents"},
    entry_row{"placement.strategy", format::text, &entry_settings::strategy, false, 0, 0, "credits, speed, least_outstanding, two_choices or random"},
    entry_row{"placement.separate_kinds", format::flag, &entry_settings::separateKinds, false, 0, 0, "separate kinds that slow each other down"},
};

const std::array AgentTable = {
    agent_row{"process.role", format::text, &agent_settings::role, true, 0, 0, "agent"},
    agent_row{"process.failure_domain", format::text, &agent_settings::failureDomain, true, 0, 0, "failure domain of this VM"},
    agent_row{"process.log_decisions", format::flag, &agent_settings::logDecisions, false, 0, 0, "write a line for each decision"},
    agent_row{"endpoint.address", format::address, &agent_settings::endpointAddress, true, 0, 0, "address of the endpoint"},
    agent_row{"endpoint.kinds", format::names, &agent_settings::kinds, false, 0, 0, "kinds that the endpoint offers"},
    agent_row{"endpoint.slots", format::number, &agent_settings::slots, false, 1, 1024, "tasks at once"},
    agent_row{"endpoint.connections", format::number, &agent_settings::connections, false, 1, 4096, "connections at once"},
    agent_row{"endpoint.result_limit", format::number, &agent_settings::resultLimit, false, 1024, MaxBytes, "bytes of one result"},
    agent_row{"endpoint.exact_slots", format::flag, &agent_settings::exactSlots, false, 0, 0, "offer what fits beside the running tasks"},
    agent_row{"endpoint.connect_timeout", format::duration, &agent_settings::connectTimeout, false, 10, Minute, "longest wait for a connection"},
    agent_row{"endpoint.watch_interference", format::flag, &agent_settings::watchInterference, false, 0, 0, "learn which kinds slow each other down"},
    agent_row{"peers.entries", format::addresses, &agent_settings::entries, true, 0, 0, "entries; further ones are learnt from these"},
    agent_row{"peers.lease", format::duration, &agent_settings::lease, false, 200, Minute, "a session without a message for this time is lost"},
    agent_row{"peers.heartbeat", format::duration, &agent_settings::heartbeat, false, 50, Minute, "sent after this time without another message"},
    agent_row{"peers.reconnect_limit", format::duration, &agent_settings::reconnectLimit, false, 50, Minute, "longest delay between attempts"},
    agent_row{"peers.sessions", format::number, &agent_settings::sessions, false, 0, 1024, "entries to keep sessions with; 0 for all"},
    agent_row{"ledger.retention", format::duration, &agent_settings::retention, false, 15 * Minute, 24 * Hour, "time that a record of a start is kept"},
    agent_row{"platform.control", format::address, &agent_settings::platformControl, false, 0, 0, "address for the heartbeats of the platform's worker"},
    agent_row{"platform.service", format::text, &agent_settings::platformService, false, 0, 0, "service of the platform's worker"},
    agent_row{"platform.start_window", format::duration, &agent_settings::startWindow, false, 0, MaxStartWindow, "short tasks start after a notice"},
    agent_row{"drain.bound", format::duration, &agent_settings::drainBound, false, 0, Hour, "longest graceful shutdown"},
};

} // namespace

std::span<const setting_spec<entry_settings>> entrySettingsTable()
{
    return EntryTable;
}

std::span<const setting_spec<agent_settings>> agentSettingsTable()
{
    return AgentTable;
}

} // namespace teaselward
