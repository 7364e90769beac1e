#include "scenario/world.h"

#include <absl/strings/str_cat.h>

// Failures of processes: kill, restart, pause and drain.

namespace teaselward::testing
{

void world::startEntry(std::size_t entry)
{
    entry_info &info = m_entryInfos.at(entry);
    info = entry_info{entry_id{m_random()}, absl::StrCat("10.0.0.", entry, ":7400"), absl::StrCat("fd-", entry % 3)};
    entry_core_settings settings;
    settings.self = info;
    settings.ticketLifetime = m_settings.ticketLifetime;
    settings.sessionLease = m_settings.lease;
    settings.seed = m_random();
    m_drained[entry] = false;
    m_entries[entry]->start(std::make_unique<entry_core>(settings, m_heap.now(), m_log));
    m_entries[entry]->deliver(rules_applied{m_rules});
    for (std::size_t agent = 0; agent < m_agents.size(); ++agent) {
        connectLater(entry, agent);
    }
    for (std::size_t other = 0; other < m_entries.size(); ++other) {
        joinPeers(entry, other);
    }
}

void world::killEntry(std::size_t entry)
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
        losePeer(other, entry);
        failPeerCalls(other, entry);
    }
}

void world::pauseEntry(std::size_t entry)
{
    entry_node &node = *m_entries.at(entry);
    node.pause();
    leaseEnds(
        [&node, life = node.life()] {
            return node.life() == life && node.isPaused();
        },
        [this, entry] {
            for (std::size_t agent = 0; agent < m_agents.size(); ++agent) {
                disconnect(entry, agent);
            }
            for (std::size_t other = 0; other < m_entries.size(); ++other) {
                losePeer(other, entry);
                losePeer(entry, other);
                failPeerCalls(other, entry);
                failPeerCalls(entry, other);
            }
        });
}

void world::resumeEntry(std::size_t entry)
{
    m_entries.at(entry)->resume();
    for (std::size_t agent = 0; agent < m_agents.size(); ++agent) {
        connectLater(entry, agent);
    }
    for (std::size_t other = 0; other < m_entries.size(); ++other) {
        joinPeers(entry, other);
    }
}

void world::drainEntry(std::size_t entry)
{
    m_entries.at(entry)->deliver(drain_started{std::chrono::seconds(30)});
}

void world::startAgent(std::size_t agent)
{
    agent_info &info = m_agentInfos.at(agent);
    const bool sameIncarnation = m_ledgersForgotten && info.id.value != 0;
    const agent_id id = sameIncarnation ? info.id : agent_id{m_random()};
    info = agent_info{id, absl::StrCat("10.1.0.", agent, ":9000"), absl::StrCat("fd-", agent % 3), m_settings.slots, 64, {}, false};
    for (const auto &[kind, rule] : m_rules->kinds) {
        info.kinds.push_back(kind);
    }
    m_leavingSince[agent] = mono_time::max();
    m_agentDrained[agent] = false;
    m_agents[agent]->start(std::make_unique<agent_core>(agent_core_settings{.self = info}, m_log));
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
        connectLater(entry, agent);
    }
}

void world::killAgent(std::size_t agent)
{
    m_agents.at(agent)->kill();
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
        disconnect(entry, agent);
    }
}

void world::pauseAgent(std::size_t agent)
{
    agent_node &node = *m_agents.at(agent);
    node.pause();
    leaseEnds(
        [&node, life = node.life()] {
            return node.life() == life && node.isPaused();
        },
        [this, agent] {
            for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
                disconnect(entry, agent);
            }
        });
}

void world::resumeAgent(std::size_t agent)
{
    m_agents.at(agent)->resume();
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
        connectLater(entry, agent);
    }
}

void world::drainAgent(std::size_t agent)
{
    m_leavingSince.at(agent) = m_heap.now();
    m_agents[agent]->deliver(agent_drain_started{std::chrono::seconds(30)});
}

void world::setEndpoint(std::size_t agent, endpoint_mode mode)
{
    m_modes.at(agent) = mode;
}

} // namespace teaselward::testing
