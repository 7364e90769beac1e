#include "rpc/entry_dispatcher.h"

#include "base/clock.h"
#include "core/concat.h"
#include "core/task_log_fields.h"
#include "rpc/agent_session.h"
#include "rpc/forwarder.h"
#include "rpc/peer_session.h"
#include "rpc/peer_table.h"
#include "rpc/rpc_limits.h"
#include "rpc/run_guarded.h"

#include <cstdint>
#include <string>
#include <utility>

namespace teaselward
{

namespace
{

// A start that is not sent returns the credit that it was placed with.
constexpr std::int32_t UnusedCredit = 1;

} // namespace

// Indexed by the alternative of entry_action; actions for other adapters are dropped.
const action_table<entry_action, entry_dispatcher::handler> entry_dispatcher::Handlers = action_table<entry_action, handler>(&entry_dispatcher::dropAction)
                                                                                             .set<start_task>(&entry_dispatcher::startTask)
                                                                                             .set<revoke_task>(&entry_dispatcher::revokeTask)
                                                                                             .set<stop_task>(&entry_dispatcher::stopTask)
                                                                                             .set<fence_ticket>(&entry_dispatcher::fenceTicket)
                                                                                             .set<forward_job>(&entry_dispatcher::forward)
                                                                                             .set<forward_query>(&entry_dispatcher::forward)
                                                                                             .set<forward_cancel>(&entry_dispatcher::forward)
                                                                                             .set<send_demand>(&entry_dispatcher::sendDemand)
                                                                                             .set<send_evacuations>(&entry_dispatcher::sendEvacuations)
                                                                                             .set<report_usage>(&entry_dispatcher::reportUsage)
                                                                                             .set<reply_job>(&entry_dispatcher::replyJob);

entry_dispatcher::entry_dispatcher(entry_rpc_context &context)
    : m_context(context)
    , m_tasks(*this)
{
}

void entry_dispatcher::dispatch(entry_action &&action)
{
    runGuarded(m_context.log, "action", [this, &action] {
        (this->*Handlers.at(action))(std::move(action));
    });
}

agent_session *entry_dispatcher::findAgent(const agent_id &agent) const
{
    const auto found = m_context.agents.find(agent);
    return found != m_context.agents.end() ? found->second : nullptr;
}

// Without a session nothing is sent, so the task is known not to have started. A payload that exceeds the message size limit
// would fail with every agent, so the task must not be placed again. A start that has expired in the ring is returned with its credit.
void entry_dispatcher::startTask(entry_action &&action)
{
    const auto &start = std::get<start_task>(action);
    agent_session *session = findAgent(start.agent);
    task_outcome outcome;
    std::int32_t credits = 0;
    if (start.order.payload.size() > MaxMessageBodyBytes) {
        outcome.why = reason::tooLarge;
    } else if (session == nullptr) {
        outcome.verdict = task_verdict::notStarted;
        outcome.why = reason::noEndpoint;
    } else if (mono_clock::now() > start.expiresAt) {
        outcome.verdict = task_verdict::notStarted;
        outcome.why = reason::overloaded;
        credits = UnusedCredit;
        if (m_context.log.isEnabled()) {
            m_context.log.write(log_part::rpc, concat("Dropped a start that has expired before it was sent. ", taskLogFields(start.order.id)));
        }
    } else {
        session->start(start.order);
        return;
    }
    m_context.events.push(task_finished{start.agent, start.order.id, std::move(outcome), credits});
}

// A revocation that cannot be sent raises no event; the core repeats it by its own timer.
void entry_dispatcher::revokeTask(entry_action &&action)
{
    const auto &revoke = std::get<revoke_task>(action);
    if (revoke.delay > revoke.delay.zero()) {
        m_tasks.add(m_context.timer.afterDelay(revoke.delay.count() * kj::MILLISECONDS).then([this, revoke] {
            sendRevoke(revoke);
        }));
        return;
    }
    sendRevoke(revoke);
}

void entry_dispatcher::sendRevoke(const revoke_task &revoke)
{
    if (agent_session *session = findAgent(revoke.agent)) {
        session->revoke(revoke.id);
    }
}

// Without a session nothing is sent: the agent stops the run on its own when it loses the task's home entry.
void entry_dispatcher::stopTask(entry_action &&action)
{
    const auto &stop = std::get<stop_task>(action);
    if (agent_session *session = findAgent(stop.agent)) {
        session->stop(stop.id);
    }
}

void entry_dispatcher::fenceTicket(entry_action &&action)
{
    const auto &fence = std::get<fence_ticket>(action);
    if (agent_session *session = findAgent(fence.agent)) {
        session->fence(fence.ticket);
    } else {
        m_context.events.push(ticket_fenced{fence.agent, fence.ticket, false, {}});
    }
}

void entry_dispatcher::forward(entry_action &&action)
{
    m_context.requestForwarder.forward(std::move(action));
}

void entry_dispatcher::sendDemand(entry_action &&action)
{
    const auto &demand = std::get<send_demand>(action);
    if (agent_session *session = findAgent(demand.agent)) {
        session->sendDemand(demand.queued);
    }
}

// Without a session nothing is sent: the next session begins with the state.
void entry_dispatcher::sendEvacuations(entry_action &&action)
{
    auto &send = std::get<send_evacuations>(action);
    const bool isForAll = !send.peer && !send.agent;
    if (isForAll) {
        for (const auto &[id, session] : m_context.agents) {
            session->sendEvacuations(send.state);
        }
    } else if (agent_session *session = send.agent ? findAgent(*send.agent) : nullptr) {
        session->sendEvacuations(send.state);
    }
    for (peer_session *session : m_context.peers.newest()) {
        if (isForAll || session->peer()->id == send.peer) {
            session->sendEvacuations(send.state);
        }
    }
    if (isForAll) {
        m_context.evacuations = std::move(send.state);
    }
}

void entry_dispatcher::reportUsage(entry_action &&action)
{
    const auto &report = std::get<report_usage>(action);
    for (peer_session *session : m_context.peers.newest()) {
        session->exchange(report.usage);
    }
}

void entry_dispatcher::replyJob(entry_action &&action)
{
    auto &reply = std::get<reply_job>(action);
    if (reply.request.origin == request_origin::peer) {
        m_context.pendingRequests.resolve(reply.request.number, std::move(reply.answer));
    }
}

void entry_dispatcher::dropAction(entry_action &&action)
{
    m_context.log.write(log_part::rpc, "Dropped an action for another adapter. index=" + std::to_string(action.index()));
}

// The only tasks are timers, which do not fail.
void entry_dispatcher::taskFailed(kj::Exception && /*exception*/)
{
}

} // namespace teaselward
