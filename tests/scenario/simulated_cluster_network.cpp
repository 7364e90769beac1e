#include "scenario/simulated_cluster.h"

#include <utility>

// Sessions between entries and agents and among entries, with the behaviour of the RPC adapters.

namespace teaselward::testing
{

session &simulated_cluster::sessionOf(std::size_t entry, std::size_t agent)
{
    return m_sessions.at(entry * m_agents.size() + agent);
}

// The jitter of up to a quarter of the latency lets messages overtake each other.
mono_time simulated_cluster::arrivalTime()
{
    const auto jitter = std::chrono::microseconds(random(static_cast<std::uint64_t>(m_settings.latency.count()) / 4 + 1));
    return m_queue.now() + m_settings.latency + jitter;
}

// Sends a message in either direction of a session. A cut holds it back, and the end of the session drops it.
void simulated_cluster::sendMessage(std::size_t entry, std::size_t agent, std::function<void()> deliver)
{
    if (!sessionOf(entry, agent).isUp) {
        return;
    }
    const auto generation = sessionOf(entry, agent).generation;
    m_queue.schedule(arrivalTime(), [this, entry, agent, generation, deliver = std::move(deliver)] {
        session &target = sessionOf(entry, agent);
        if (target.generation != generation) {
            return;
        }
        if (target.isCut) {
            target.held.push_back(deliver);
            return;
        }
        deliver();
    });
}

call_id simulated_cluster::openCall(std::size_t entry, std::size_t agent, const ticket_id &ticket)
{
    const call_id call{++m_sequence};
    m_calls[call.value] = agent_call{entry, agent, sessionOf(entry, agent).generation, ticket};
    return call;
}

// Removes a call from the open ones. Returns false if its session has ended, so that the answer cannot be delivered.
bool simulated_cluster::closeCall(const call_id &call, agent_call &closed)
{
    const auto found = m_calls.find(call.value);
    if (found == m_calls.end()) {
        return false;
    }
    closed = found->second;
    m_calls.erase(found);
    return sessionOf(closed.entry, closed.agent).generation == closed.generation;
}

void simulated_cluster::scheduleConnect(std::size_t entry, std::size_t agent)
{
    const auto backoff = m_settings.reconnect / 2 + std::chrono::milliseconds(random(static_cast<std::uint64_t>(m_settings.reconnect.count())));
    m_queue.schedule(m_queue.now() + backoff, [this, entry, agent] {
        connect(entry, agent);
    });
}

void simulated_cluster::connect(std::size_t entry, std::size_t agent)
{
    session &target = sessionOf(entry, agent);
    entry_process &entryProcess = *m_entries[entry];
    agent_process &agentProcess = *m_agents[agent];
    if (target.isUp || target.isCut || !entryProcess.isAlive() || !agentProcess.isAlive() || entryProcess.isPaused() || agentProcess.isPaused()) {
        return;
    }
    target.isUp = true;
    ++target.generation;
    agent_info info = m_agentInfos[agent];
    info.leaving = m_leavingSince[agent] <= m_queue.now();
    entryProcess.deliver(agent_joined{info, 0, m_settings.lease});
    agentProcess.deliver(entry_joined{m_entryInfos[entry]});
}

// Ends a session and reports it to each live side. The entry first learns which of its calls stay unanswered.
void simulated_cluster::disconnect(std::size_t entry, std::size_t agent)
{
    session &target = sessionOf(entry, agent);
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
    scheduleConnect(entry, agent);
}

// Calls act after one lease if stillSilent() holds then. A session that recovered and fell silent again in between counts as
// silent throughout, so its lease ends sooner than the real one, which makes the test harder.
void simulated_cluster::actAfterLease(std::function<bool()> stillSilent, std::function<void()> act)
{
    m_queue.schedule(m_queue.now() + m_settings.lease, [stillSilent = std::move(stillSilent), act = std::move(act)] {
        if (stillSilent()) {
            act();
        }
    });
}

void simulated_cluster::cut(std::size_t entry, std::size_t agent)
{
    sessionOf(entry, agent).isCut = true;
    actAfterLease(
        [this, entry, agent] {
            return sessionOf(entry, agent).isCut;
        },
        [this, entry, agent] {
            disconnect(entry, agent);
        });
}

void simulated_cluster::heal(std::size_t entry, std::size_t agent)
{
    session &target = sessionOf(entry, agent);
    target.isCut = false;
    for (auto &deliver : std::exchange(target.held, {})) {
        deliver();
    }
    scheduleConnect(entry, agent);
}

bool simulated_cluster::isPeerCut(std::size_t first, std::size_t second) const
{
    return m_peerCuts.contains(std::minmax(first, second));
}

void simulated_cluster::cutEntries(std::size_t first, std::size_t second)
{
    m_peerCuts.insert(std::minmax(first, second));
    actAfterLease(
        [this, first, second] {
            return isPeerCut(first, second);
        },
        [this, first, second] {
            notifyPeerLost(first, second);
            notifyPeerLost(second, first);
            failPeerCalls(first, second);
            failPeerCalls(second, first);
        });
}

void simulated_cluster::healEntries(std::size_t first, std::size_t second)
{
    m_peerCuts.erase(std::minmax(first, second));
    connectPeers(first, second);
}

void simulated_cluster::connectPeers(std::size_t first, std::size_t second)
{
    if (first == second || isPeerCut(first, second) || !m_entries[first]->isAlive() || !m_entries[second]->isAlive()) {
        return;
    }
    m_entries[first]->deliver(peer_joined{m_entryInfos[second]});
    m_entries[second]->deliver(peer_joined{m_entryInfos[first]});
}

void simulated_cluster::notifyPeerLost(std::size_t entry, std::size_t lost)
{
    if (entry != lost) {
        m_entries[entry]->deliver(peer_lost{m_entryInfos[lost].id});
    }
}

// Fails the open requests that one entry forwarded to another, which can no longer answer them.
void simulated_cluster::failPeerCalls(std::size_t from, std::size_t to)
{
    std::vector<peer_call> lost;
    for (auto call = m_peerCalls.begin(); call != m_peerCalls.end();) {
        const auto current = call++;
        if (current->second.from == from && current->second.to == to) {
            lost.push_back(current->second);
            m_peerCalls.erase(current);
        }
    }
    for (const peer_call &call : lost) {
        m_entries[from]->deliver(forward_answered{call.request, false, false, {}});
    }
}

std::size_t simulated_cluster::entryByAddress(const std::string &address) const
{
    std::size_t found = 0;
    while (found < m_entryInfos.size() && m_entryInfos[found].address != address) {
        ++found;
    }
    return found;
}

std::size_t simulated_cluster::entryById(const entry_id &id) const
{
    std::size_t found = 0;
    while (found < m_entryInfos.size() && m_entryInfos[found].id != id) {
        ++found;
    }
    return found;
}

std::size_t simulated_cluster::agentById(const agent_id &id) const
{
    std::size_t found = 0;
    while (found < m_agentInfos.size() && m_agentInfos[found].id != id) {
        ++found;
    }
    return found;
}

} // namespace teaselward::testing
