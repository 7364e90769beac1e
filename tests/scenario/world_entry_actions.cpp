#include "scenario/world.h"

#include <utility>

// What the adapters of an entry do with its actions.

namespace teaselward::testing
{

// An endpoint that is leaving must get no new work after this time (the limit that the users state).
constexpr std::chrono::seconds LeavingLimit{2};

const std::vector<world::entry_performer> world::EntryPerformers = {
    &world::onReplyTickets,
    &world::onReplyJob,
    &world::onStartTask,
    &world::onStopTask,
    &world::onRevokeTask,
    &world::onFenceTicket,
    &world::onForwardJob,
    &world::onForwardQuery,
    &world::onForwardCancel,
    &world::onSendDemand,
    &world::onReportUsage,
    &world::onReplyStatus,
    &world::onFinishDrain,
};
static_assert(std::variant_size_v<entry_action> == 13);

void world::onReplyTickets(std::size_t /*entry*/, entry_action &action)
{
    m_issued = std::get<reply_tickets>(action).tickets;
}

void world::onReplyJob(std::size_t entry, entry_action &action)
{
    const auto &reply = std::get<reply_job>(action);
    if (reply.request.origin == request_origin::caller) {
        tellCaller(reply.request.number, reply.answer);
        return;
    }
    const auto found = m_peerCalls.find(reply.request.number);
    if (found == m_peerCalls.end() || found->second.to != entry) {
        return;
    }
    const peer_call call = found->second;
    if (isPeerCut(call.from, entry)) {
        // The connection keeps the answer until the cut ends or the call has failed.
        m_heap.add(m_heap.now() + m_settings.reconnect, [this, entry, kept = action]() mutable {
            onReplyJob(entry, kept);
        });
        return;
    }
    m_heap.add(arrival(), [this, number = reply.request.number, answer = reply.answer] {
        const auto open = m_peerCalls.extract(number);
        if (!open.empty()) {
            m_entries[open.mapped().from]->deliver(forward_answered{open.mapped().request, true, false, answer});
        }
    });
}

void world::onStartTask(std::size_t entry, entry_action &action)
{
    const auto &start = std::get<start_task>(action);
    const std::size_t agent = agentOf(start.agent);
    if (agent == m_agents.size() || !link(entry, agent).isUp) {
        m_heap.add(m_heap.now(), [this, entry, start] {
            m_entries[entry]->deliver(start_unanswered{start.agent, start.order.id});
        });
        return;
    }
    if (m_leavingSince[agent] < m_heap.now() - LeavingLimit && !m_entries[entry]->isPaused()) {
        m_checker.sentToLeaving(agent);
    }
    link(entry, agent).unanswered.push_back(start.order.id);
    const call_id call = openCall(entry, agent, start.order.id.ticket);
    carry(entry, agent, [this, agent, call, from = m_entryInfos[entry].id, order = start.order] {
        m_agents[agent]->deliver(start_received{call, from, order});
    });
}

void world::onStopTask(std::size_t entry, entry_action &action)
{
    const auto stop = std::get<stop_task>(action);
    const std::size_t agent = agentOf(stop.agent);
    if (agent != m_agents.size() && link(entry, agent).isUp) {
        carry(entry, agent, [this, agent, from = m_entryInfos[entry].id, id = stop.id] {
            m_agents[agent]->deliver(stop_received{from, id});
        });
    }
}

void world::onRevokeTask(std::size_t entry, entry_action &action)
{
    const auto revoke = std::get<revoke_task>(action);
    m_heap.add(m_heap.now() + revoke.delay, [this, entry, revoke, life = m_entries[entry]->life()] {
        if (m_entries[entry]->life() != life) {
            return;
        }
        if (m_revokesUnasked) {
            m_entries[entry]->deliver(task_revoked{revoke.agent, agent_task_status{revoke.id, agent_task_state::notStarted, {}}});
            return;
        }
        const std::size_t agent = agentOf(revoke.agent);
        if (agent == m_agents.size() || !link(entry, agent).isUp) {
            return;
        }
        const call_id call = openCall(entry, agent, revoke.id.ticket);
        carry(entry, agent, [this, agent, call, from = m_entryInfos[entry].id, id = revoke.id] {
            m_agents[agent]->deliver(revoke_received{call, from, id});
        });
    });
}

void world::onFenceTicket(std::size_t entry, entry_action &action)
{
    const auto fence = std::get<fence_ticket>(action);
    const std::size_t agent = agentOf(fence.agent);
    if (m_fencesUnasked && agent < m_agents.size()) {
        m_checker.fenced(fence.ticket, agent);
    }
    if (m_fencesUnasked || agent == m_agents.size() || !link(entry, agent).isUp) {
        m_heap.add(m_heap.now(), [this, entry, fence] {
            m_entries[entry]->deliver(ticket_fenced{fence.agent, fence.ticket, m_fencesUnasked, {}});
        });
        return;
    }
    const call_id call = openCall(entry, agent, fence.ticket);
    carry(entry, agent, [this, agent, call, from = m_entryInfos[entry].id, ticket = fence.ticket] {
        m_agents[agent]->deliver(fence_received{call, from, ticket});
    });
}

// Sends a request to its home entry, or tells at once that the home entry is gone.
void world::forward(std::size_t entry, const request_id &request, const ticket &source, std::function<entry_event(request_id)> make)
{
    const std::size_t home = entryAt(source.home);
    const bool reachable = home < m_entries.size() && m_entries[home]->isAlive() && !isPeerCut(entry, home);
    const bool sameIncarnation = reachable && m_entryInfos[home].id.value == source.id.incarnation;
    if (!sameIncarnation) {
        m_heap.add(arrival(), [this, entry, request, reachable] {
            m_entries[entry]->deliver(forward_answered{request, reachable, reachable, {}});
        });
        return;
    }
    const std::uint64_t number = ++m_sequence;
    m_peerCalls[number] = peer_call{entry, home, request};
    m_heap.add(arrival(), [this, home, number, make = std::move(make)] {
        if (m_peerCalls.contains(number)) {
            m_entries[home]->deliver(make(request_id{request_origin::peer, number}));
        }
    });
    leaseEnds(
        [this, number, home] {
            return m_peerCalls.contains(number) && m_entries[home]->isPaused();
        },
        [this, entry, home] {
            failPeerCalls(entry, home);
        });
}

void world::onForwardJob(std::size_t entry, entry_action &action)
{
    const auto &given = std::get<forward_job>(action);
    forward(entry, given.request, given.job.source, [job = given.job](request_id request) {
        return job_submitted{request, job};
    });
}

void world::onForwardQuery(std::size_t entry, entry_action &action)
{
    const auto &given = std::get<forward_query>(action);
    forward(entry, given.request, given.source, [given](request_id request) {
        return job_queried{request, given.source, given.wait};
    });
}

void world::onForwardCancel(std::size_t entry, entry_action &action)
{
    const auto &given = std::get<forward_cancel>(action);
    forward(entry, given.request, given.source, [source = given.source](request_id request) {
        return job_cancelled{request, source};
    });
}

void world::onSendDemand(std::size_t entry, entry_action &action)
{
    const auto &demand = std::get<send_demand>(action);
    const std::size_t agent = agentOf(demand.agent);
    if (agent < m_agents.size()) {
        carry(entry, agent, [this, agent, from = m_entryInfos[entry].id, queued = demand.queued] {
            m_agents[agent]->deliver(demand_received{from, queued});
        });
    }
}

void world::onReportUsage(std::size_t entry, entry_action &action)
{
    for (std::size_t other = 0; other < m_entries.size(); ++other) {
        if (other != entry && !isPeerCut(entry, other)) {
            m_heap.add(arrival(), [this, other, report = peer_reported{m_entryInfos[entry].id, std::get<report_usage>(action).usage}] {
                m_entries[other]->deliver(report);
            });
        }
    }
}

void world::onReplyStatus(std::size_t /*entry*/, entry_action & /*action*/)
{
}

void world::onFinishDrain(std::size_t entry, entry_action & /*action*/)
{
    m_drained[entry] = true;
}

} // namespace teaselward::testing
