#include "scenario/world.h"

#include <utility>

// Sessions between entries and agents, and between entries, as the RPC adapters keep them.

namespace teaselward::testing
{

session &world::link(std::size_t entry, std::size_t agent)
{
    return m_sessions.at(entry * m_agents.size() + agent);
}

// Jitter of a quarter lets messages of different sessions overtake each other.
mono_time world::arrival()
{
    const auto jitter = std::chrono::microseconds(random(static_cast<std::uint64_t>(m_settings.latency.count()) / 4 + 1));
    return m_heap.now() + m_settings.latency + jitter;
}

// Carries a message in either direction of a session. A cut holds it back; the end of the session drops it.
void world::carry(std::size_t entry, std::size_t agent, std::function<void()> deliver)
{
    if (!link(entry, agent).isUp) {
        return;
    }
    const auto generation = link(entry, agent).generation;
    m_heap.add(arrival(), [this, entry, agent, generation, deliver = std::move(deliver)] {
        session &carrier = link(entry, agent);
        if (carrier.generation != generation) {
            return;
        }
        if (carrier.isCut) {
            carrier.held.push_back(deliver);
            return;
        }
        deliver();
    });
}

call_id world::openCall(std::size_t entry, std::size_t agent, const ticket_id &ticket)
{
    const call_id call{++m_sequence};
    m_calls[call.value] = agent_call{entry, agent, link(entry, agent).generation, ticket};
    return call;
}

// Ends a call; false if the session that carried it is gone, so that the answer has nowhere to go.
bool world::closeCall(const call_id &call, agent_call &closed)
{
    const auto found = m_calls.find(call.value);
    if (found == m_calls.end()) {
        return false;
    }
    closed = found->second;
    m_calls.erase(found);
    return link(closed.entry, closed.agent).generation == closed.generation;
}

void world::connectLater(std::size_t entry, std::size_t agent)
{
    const auto backoff = m_settings.reconnect / 2 + std::chrono::milliseconds(random(static_cast<std::uint64_t>(m_settings.reconnect.count())));
    m_heap.add(m_heap.now() + backoff, [this, entry, agent] {
        connect(entry, agent);
    });
}

void world::connect(std::size_t entry, std::size_t agent)
{
    session &target = link(entry, agent);
    entry_node &entryNode = *m_entries[entry];
    agent_node &agentNode = *m_agents[agent];
    if (target.isUp || target.isCut || !entryNode.isAlive() || !agentNode.isAlive() || entryNode.isPaused() || agentNode.isPaused()) {
        return;
    }
    target.isUp = true;
    ++target.generation;
    agent_info info = m_agentInfos[agent];
    info.leaving = m_leavingSince[agent] <= m_heap.now();
    entryNode.deliver(agent_joined{info, 0, m_settings.lease});
    agentNode.deliver(entry_joined{m_entryInfos[entry]});
}

// Ends a session. Each side that lives learns of it, first of its own calls without an answer.
void world::disconnect(std::size_t entry, std::size_t agent)
{
    session &target = link(entry, agent);
    if (!target.isUp) {
        return;
    }
    target.isUp = false;
    ++target.generation;
    target.held.clear();
    const agent_id lostAgent = m_agentInfos[agent].id;
    for (const task_id &id : std::exchange(target.unanswered, {})) {
        m_entries[entry]->deliver(start_unanswered{lostAgent, id});
    }
    std::vector<agent_call> open;
    for (auto call = m_calls.begin(); call != m_calls.end();) {
        const auto current = call++;
        if (current->second.entry == entry && current->second.agent == agent) {
            open.push_back(current->second);
            m_calls.erase(current);
        }
    }
    for (const agent_call &call : open) {
        m_entries[entry]->deliver(ticket_fenced{lostAgent, call.ticket, false, {}});
    }
    m_entries[entry]->deliver(agent_lost{lostAgent});
    m_agents[agent]->deliver(entry_lost{m_entryInfos[entry].id});
    connectLater(entry, agent);
}

// Acts after the lease unless the silence has ended by then. A session that fell silent again counts as silent throughout,
// which is a shorter lease than the real one and therefore a harder test.
void world::leaseEnds(std::function<bool()> stillSilent, std::function<void()> act)
{
    m_heap.add(m_heap.now() + m_settings.lease, [stillSilent = std::move(stillSilent), act = std::move(act)] {
        if (stillSilent()) {
            act();
        }
    });
}

void world::cut(std::size_t entry, std::size_t agent)
{
    link(entry, agent).isCut = true;
    leaseEnds(
        [this, entry, agent] {
            return link(entry, agent).isCut;
        },
        [this, entry, agent] {
            disconnect(entry, agent);
        });
}

void world::heal(std::size_t entry, std::size_t agent)
{
    session &target = link(entry, agent);
    target.isCut = false;
    for (auto &deliver : std::exchange(target.held, {})) {
        deliver();
    }
    connectLater(entry, agent);
}

bool world::isPeerCut(std::size_t first, std::size_t second) const
{
    return m_peerCuts.contains(std::minmax(first, second));
}

void world::cutEntries(std::size_t first, std::size_t second)
{
    m_peerCuts.insert(std::minmax(first, second));
    leaseEnds(
        [this, first, second] {
            return isPeerCut(first, second);
        },
        [this, first, second] {
            losePeer(first, second);
            losePeer(second, first);
            failPeerCalls(first, second);
            failPeerCalls(second, first);
        });
}

void world::healEntries(std::size_t first, std::size_t second)
{
    m_peerCuts.erase(std::minmax(first, second));
    joinPeers(first, second);
}

void world::joinPeers(std::size_t first, std::size_t second)
{
    if (first == second || isPeerCut(first, second) || !m_entries[first]->isAlive() || !m_entries[second]->isAlive()) {
        return;
    }
    m_entries[first]->deliver(peer_joined{m_entryInfos[second]});
    m_entries[second]->deliver(peer_joined{m_entryInfos[first]});
}

void world::losePeer(std::size_t entry, std::size_t lost)
{
    if (entry != lost) {
        m_entries[entry]->deliver(peer_lost{m_entryInfos[lost].id});
    }
}

// Answers the requests that one entry forwarded to another one that can no longer answer.
void world::failPeerCalls(std::size_t first, std::size_t second)
{
    std::vector<peer_call> lost;
    for (auto call = m_peerCalls.begin(); call != m_peerCalls.end();) {
        const auto current = call++;
        if (current->second.from == first && current->second.to == second) {
            lost.push_back(current->second);
            m_peerCalls.erase(current);
        }
    }
    for (const peer_call &call : lost) {
        m_entries[first]->deliver(forward_answered{call.request, false, false, {}});
    }
}

std::size_t world::entryAt(const std::string &address) const
{
    std::size_t found = 0;
    while (found < m_entryInfos.size() && m_entryInfos[found].address != address) {
        ++found;
    }
    return found;
}

std::size_t world::entryOf(const entry_id &id) const
{
    std::size_t found = 0;
    while (found < m_entryInfos.size() && m_entryInfos[found].id != id) {
        ++found;
    }
    return found;
}

std::size_t world::agentOf(const agent_id &id) const
{
    std::size_t found = 0;
    while (found < m_agentInfos.size() && m_agentInfos[found].id != id) {
        ++found;
    }
    return found;
}

} // namespace teaselward::testing
