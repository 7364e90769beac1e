#include "job/entry_core_private.h"

#include "core/concat.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace teaselward::detail
{

namespace
{

// While starts are outstanding the core asks to be called this many times within the lease of a session, so that a longer
// gap between two calls shows that the thread was paused.
constexpr int CallsPerLease = 2;

// The slot table may name an instant that has passed; this keeps the timer from firing without a break.
constexpr std::chrono::milliseconds MinSlotDelay{1};

} // namespace

template<auto Member, typename Event>
void entry_core_private::call(const entry_event &event)
{
    (this->*Member)(std::get<Event>(event));
}

entry_core_private::entry_core_private(const entry_core_settings &settings, mono_time start, decision_log &log)
    : m_context(settings, start, log)
    , m_tickets(settings.self, settings.ticketLifetime, start)
    , m_jobs(m_context, m_tickets)
    , m_placer(m_context, m_jobs)
    , m_recoveries(m_context)
    , m_forwarder(m_context, m_recoveries)
    , m_demand(m_context)
    , m_quotas(m_context)
{
}

// Finds the handler by the index of the event in the variant; both lists have the same order. What is due comes first, so
// that no task of an overdue job starts.
void entry_core_private::handle(const entry_event &event, mono_time now, std::vector<entry_action> &actions)
{
    using core = entry_core_private;
    static constexpr std::array<handler, std::variant_size_v<entry_event>> handlers = {
        &core::call<&core::onTicketRequested, ticket_requested>,
        &core::call<&core::onJobSubmitted, job_submitted>,
        &core::call<&core::onJobQueried, job_queried>,
        &core::call<&core::onJobCancelled, job_cancelled>,
        &core::call<&core::onAgentJoined, agent_joined>,
        &core::call<&core::onAgentLost, agent_lost>,
        &core::call<&core::onAgentLeaving, agent_leaving>,
        &core::call<&core::onCreditsGranted, credits_granted>,
        &core::call<&core::onTaskFinished, task_finished>,
        &core::call<&core::onStartUnanswered, start_unanswered>,
        &core::call<&core::onTaskRevoked, task_revoked>,
        &core::call<&core::onTicketFenced, ticket_fenced>,
        &core::call<&core::onForwardAnswered, forward_answered>,
        &core::call<&core::onPeerJoined, peer_joined>,
        &core::call<&core::onPeerLost, peer_lost>,
        &core::call<&core::onPeerReported, peer_reported>,
        &core::call<&core::onRulesApplied, rules_applied>,
        &core::call<&core::onStatusRequested, status_requested>,
        &core::call<&core::onTimer, timer_fired>,
        &core::call<&core::onDrainStarted, drain_started>,
    };
    m_context.actions = &actions;
    detectPause(now);
    m_context.now = now;
    runTimers();
    (this->*handlers.at(event.index()))(event);
    const std::size_t placed = m_placer.placeAll();
    m_demand.update(placed, m_agents);
    finishDrainIfIdle();
    m_context.actions = nullptr;
}

// After a pause longer than the lease the agents may have closed the sessions, and a fence may have overtaken the starts.
void entry_core_private::detectPause(mono_time now)
{
    if (m_placer.outstanding() > 0 && now - m_context.now > m_context.settings.sessionLease) {
        if (m_context.log.isEnabled()) {
            const auto gap = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_context.now);
            m_context.log.write(log_part::place, concat("Was paused; all starts are revoked. gap_ms=", gap.count(), " starts=", m_placer.outstanding()));
        }
        m_context.now = now;
        m_placer.sessionsLapsed();
    }
}

// Does what is due before the event is applied.
void entry_core_private::runTimers()
{
    m_jobs.runTimers();
    m_placer.runTimers();
    m_recoveries.runTimers();
    m_forwarder.runTimers();
    m_quotas.runTimers();
}

mono_time entry_core_private::nextDue() const
{
    mono_time due = std::min({m_jobs.nextDue(), m_placer.nextDue(), m_recoveries.nextDue(), m_forwarder.nextDue(), m_quotas.nextDue(), m_demand.nextDue()});
    if (m_context.queue.size() > 0) {
        due = std::min(due, std::max(m_context.slots.nextDue(), m_context.now + MinSlotDelay));
    }
    if (m_placer.outstanding() > 0) {
        due = std::min(due, m_context.now + m_context.settings.sessionLease / CallsPerLease);
    }
    if (m_drainEnd && !m_isDrained) {
        due = std::min(due, *m_drainEnd);
    }
    return due;
}

void entry_core_private::onTicketRequested(const ticket_requested &event)
{
    reply_tickets reply{.request = event.request, .why = reason::none, .tickets = {}};
    if (m_drainEnd) {
        reply.why = reason::draining;
    } else if (event.count == 0 || event.count > m_context.settings.ticketBatch) {
        reply.why = reason::malformed;
    } else {
        reply.tickets = m_tickets.issue(event.count, m_context.now);
    }
    m_context.actions->push_back(std::move(reply));
}

void entry_core_private::onJobSubmitted(const job_submitted &event)
{
    if (m_tickets.isHome(event.job.source)) {
        m_jobs.submit(event.request, event.job);
    } else {
        m_forwarder.forwardJob(event.request, event.job);
    }
}

void entry_core_private::onJobQueried(const job_queried &event)
{
    if (m_tickets.isHome(event.source)) {
        m_jobs.query(event.request, event.source, event.wait);
    } else {
        m_forwarder.forwardQuery(event.request, event.source, event.wait);
    }
}

void entry_core_private::onJobCancelled(const job_cancelled &event)
{
    if (m_tickets.isHome(event.source)) {
        m_jobs.cancel(event.request, event.source);
    } else {
        m_forwarder.forwardCancel(event.request, event.source);
    }
}

// A new incarnation at a known address proves that the ledger of the former one is gone.
void entry_core_private::onAgentJoined(const agent_joined &event)
{
    const agent_id &agent = event.info.id;
    if (const auto former = m_agents.join(event.info); former) {
        m_agents.leave(*former);
        m_context.slots.leave(*former);
        m_placer.incarnationGone(*former);
        m_recoveries.incarnationGone(*former);
    }
    m_context.slots.join(event.info, event.credits, event.lease, m_context.now);
    m_placer.connectionRestored(agent);
    m_recoveries.agentJoined(agent);
}

void entry_core_private::onAgentLost(const agent_lost &event)
{
    m_agents.leave(event.agent);
    m_context.slots.leave(event.agent);
    m_placer.connectionLost(event.agent);
}

// The agent still answers the starts that it accepted, so its placements stay.
void entry_core_private::onAgentLeaving(const agent_leaving &event)
{
    m_agents.leave(event.agent);
    m_context.slots.leave(event.agent);
}

void entry_core_private::onCreditsGranted(const credits_granted &event)
{
    m_context.slots.addCredits(event.agent, event.delta);
}

void entry_core_private::onTaskFinished(const task_finished &event)
{
    m_placer.finished(event.agent, event.id, event.outcome, event.credits);
}

void entry_core_private::onStartUnanswered(const start_unanswered &event)
{
    m_placer.unanswered(event.agent, event.id);
}

void entry_core_private::onTaskRevoked(const task_revoked &event)
{
    m_placer.revoked(event.agent, event.held);
}

void entry_core_private::onTicketFenced(const ticket_fenced &event)
{
    m_recoveries.fenced(event.agent, event.ticket, event.answered, event.held);
}

void entry_core_private::onForwardAnswered(const forward_answered &event)
{
    m_forwarder.answered(event.request, event.reached, event.otherIncarnation, event.answer);
}

void entry_core_private::onPeerJoined(const peer_joined &event)
{
    m_quotas.join(event.info);
}

void entry_core_private::onPeerLost(const peer_lost &event)
{
    m_quotas.lose(event.peer);
}

void entry_core_private::onPeerReported(const peer_reported &event)
{
    m_quotas.reported(event.peer, event.usage);
}

// A configuration never reverts, so rules with a lower offset are ignored.
void entry_core_private::onRulesApplied(const rules_applied &event)
{
    if (!event.rules || (m_context.rules && event.rules->offset < m_context.rules->offset)) {
        return;
    }
    m_context.rules = event.rules;
    m_context.queue.setRules(event.rules);
}

void entry_core_private::onStatusRequested(const status_requested &event)
{
    reply_status reply{.request = event.request, .status = {}};
    reply.status.self = m_context.settings.self;
    reply.status.draining = m_drainEnd.has_value();
    reply.status.rulesOffset = m_context.rules ? m_context.rules->offset : 0;
    reply.status.runningJobs = m_jobs.runningCount();
    reply.status.keptAnswers = m_jobs.keptCount();
    reply.status.peers = m_quotas.peers();
    reply.status.endpoints = m_context.slots.status();
    reply.status.queues = m_context.queue.status();
    m_context.actions->push_back(std::move(reply));
}

void entry_core_private::onTimer(const timer_fired & /*event*/)
{
}

void entry_core_private::onDrainStarted(const drain_started &event)
{
    if (m_drainEnd) {
        return;
    }
    m_drainEnd = m_context.now + event.bound;
    m_context.isDraining = true;
    if (m_context.log.isEnabled()) {
        m_context.log.write(log_part::job, concat("Draining. jobs=", m_jobs.runningCount(), " bound_ms=", event.bound.count()));
    }
}

// Tells whether no request is in progress.
bool entry_core_private::isIdle() const
{
    return m_jobs.runningCount() == 0 && m_forwarder.size() == 0 && m_recoveries.size() == 0;
}

// Ends the drain once, when nothing is in progress or the bound has passed.
void entry_core_private::finishDrainIfIdle()
{
    if (!m_drainEnd || m_isDrained || (!isIdle() && m_context.now < *m_drainEnd)) {
        return;
    }
    m_isDrained = true;
    m_context.actions->push_back(finish_drain{});
}

} // namespace teaselward::detail
