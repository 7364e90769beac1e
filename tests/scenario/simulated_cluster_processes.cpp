#include "scenario/simulated_cluster.h"

#include <absl/strings/str_cat.h>

// Process failures: kill, restart, pause and drain.

namespace teaselward::testing
{

void simulated_cluster::startEntry(std::size_t entry)
{
    entry_info &info = m_entryInfos.at(entry);
    info = entry_info{entry_id{m_random()}, absl::StrCat("10.0.0.", entry, ":7400"), absl::StrCat("fd-", entry % 3)};
    entry_core_settings settings;
    settings.self = info;
    settings.ticketLifetime = m_settings.ticketLifetime;
    settings.sessionLease = m_settings.lease;
    settings.seed = m_random();
    m_entryDrained[entry] = false;
    m_entries[entry]->start(std::make_unique<entry_core>(settings, m_queue.now(), m_log));
    m_entries[entry]->deliver(rules_applied{m_rules});
    for (std::size_t agent = 0; agent < m_agents.size(); ++agent) {
        scheduleConnect(entry, agent);
    }
    for (std::size_t other = 0; other < m_entries.size(); ++other) {
        connectPeers(entry, other);
    }
}

void simulated_cluster::killEntry(std::size_t entry)
{
    m_entries.at(entry)->kill();
    for (request_record &record : m_requests) {
        if (record.entry == entry && record.answers == 0) {
            record.connectionLost = true;
        }
    }
    for (std::size_t agent = 0; agent < m_agents.size(); ++agent) {
        disconnect(entry, agent);
    }
    for (std::size_t other = 0; other < m_entries.size(); ++other) {
        notifyPeerLost(other, entry);
        failPeerCalls(other, entry);
    }
}

void simulated_cluster::pauseEntry(std::size_t entry)
{
    entry_process &process = *m_entries.at(entry);
    process.pause();
    actAfterLease(
        [&process, epoch = process.epoch()] {
            return process.epoch() == epoch && process.isPaused();
        },
        [this, entry] {
            for (std::size_t agent = 0; agent < m_agents.size(); ++agent) {
                disconnect(entry, agent);
            }
            for (std::size_t other = 0; other < m_entries.size(); ++other) {
                notifyPeerLost(other, entry);
                notifyPeerLost(entry, other);
                failPeerCalls(other, entry);
                failPeerCalls(entry, other);
            }
        });
}

void simulated_cluster::resumeEntry(std::size_t entry)
{
    m_entries.at(entry)->resume();
    for (std::size_t agent = 0; agent < m_agents.size(); ++agent) {
        scheduleConnect(entry, agent);
    }
    for (std::size_t other = 0; other < m_entries.size(); ++other) {
        connectPeers(entry, other);
    }
}

void simulated_cluster::drainEntry(std::size_t entry)
{
    m_entries.at(entry)->deliver(drain_started{std::chrono::seconds(30)});
}

void simulated_cluster::startAgent(std::size_t agent)
{
    agent_info &info = m_agentInfos.at(agent);
    const bool sameIncarnation = m_incarnationGuardDisabled && info.id.value != 0;
    const agent_id id = sameIncarnation ? info.id : agent_id{m_random()};
    info = agent_info{id, absl::StrCat("10.1.0.", agent, ":9000"), absl::StrCat("fd-", agent % 3), m_settings.slots, 64, {}, false};
    for (const auto &[kind, rule] : m_rules->kinds) {
        info.kinds.push_back(kind);
    }
    m_leavingSince[agent] = mono_time::max();
    m_agentDrained[agent] = false;
    m_agents[agent]->start(std::make_unique<agent_core>(agent_core_settings{.self = info, .capacity = {}}, m_log));
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
        scheduleConnect(entry, agent);
    }
}

void simulated_cluster::killAgent(std::size_t agent)
{
    m_agents.at(agent)->kill();
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
        disconnect(entry, agent);
    }
}

void simulated_cluster::pauseAgent(std::size_t agent)
{
    agent_process &process = *m_agents.at(agent);
    process.pause();
    actAfterLease(
        [&process, epoch = process.epoch()] {
            return process.epoch() == epoch && process.isPaused();
        },
        [this, agent] {
            for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
                disconnect(entry, agent);
            }
        });
}

void simulated_cluster::resumeAgent(std::size_t agent)
{
    m_agents.at(agent)->resume();
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
        scheduleConnect(entry, agent);
    }
}

void simulated_cluster::drainAgent(std::size_t agent)
{
    m_leavingSince.at(agent) = m_queue.now();
    m_agents[agent]->deliver(agent_drain_started{std::chrono::seconds(30)});
}

void simulated_cluster::setEndpoint(std::size_t agent, endpoint_mode mode)
{
    m_endpointModes.at(agent) = mode;
}

} // namespace teaselward::testing
