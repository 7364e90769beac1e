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

// While starts are outstanding, the core asks to be called this many times per session lease, so that a longer gap between
// two calls indicates that the thread was paused.
constexpr int CallsPerLease = 2;

// The slot table may return a time that has passed; the minimum delay prevents a busy loop of timer events.
constexpr std::chrono::milliseconds MinSlotDelay{1};

} // namespace

template<auto Member, typename Event>
void entry_core_private::call(const entry_event &event)
{
    (this->*Member)(std::get<Event>(event));
}

entry_core_private::entry_core_private(const entry_core_settings &settings, mono_time start, logger &log)
    : m_context(settings, start, log)
    , m_tickets(settings.self, settings.ticketLifetime, start)
    , m_jobs(m_context, m_tickets)
    , m_placer(m_context, m_jobs)
    , m_recoveries(m_context)
    , m_forwarder(m_context, m_recoveries)
    , m_demand(m_context)
    , m_quotas(m_context)
    , m_evacuations(m_context)
{
}

// Looks up the handler by variant index, so the table must list the events in the order of entry_event. Timers run before the
// event, so that no task of an overdue job is started.
void entry_core_private::handle(const entry_event &event, mono_time now, std::vector<entry_action> &actions)
{
    using core = entry_core_private;
    static constexpr std::array<handler, std::variant_size_v<entry_event>> handlers = {
        &core::call<&core::onTicketRequested, ticket_requested>,
        &core::call<&core::onJobSubmitted, job_submitted>,
        &core::call<&core::onKeyedJobSubmitted, keyed_job_submitted>,
        &core::call<&core::onRequestAbandoned, request_abandoned>,
        &core::call<&core::onCallersChecked, callers_checked>,
        &core::call<&core::onJobQueried, job_queried>,
        &core::call<&core::onJobCancelled, job_cancelled>,
        &core::call<&core::onAgentJoined, agent_joined>,
        &core::call<&core::onAgentLost, agent_lost>,
        &core::call<&core::onAgentLeaving, agent_leaving>,
        &core::call<&core::onEndpointCrashed, endpoint_crashed>,
        &core::call<&core::onEvacuationsReported, evacuations_reported>,
        &core::call<&core::onInterferenceReported, interference_reported>,
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
    m_placer.stopObsolete();
    m_demand.update(m_placer.placeAll(), m_agents);
    logSpeedChanges();
    finishDrainIfIdle();
    m_context.actions = nullptr;
}

// After a pause longer than the session lease, agents may have closed their sessions, and another entry may have fenced tickets
// whose starts are outstanding. All starts are revoked before anything is placed again. Jobs whose callers may have left meanwhile
// need no detection of pauses, because a start depends on the age of the last check of the connection.
void entry_core_private::detectPause(mono_time now)
{
    if (m_placer.outstanding() > 0 && now - m_context.now > m_context.settings.sessionLease) {
        if (m_context.log.isEnabled()) {
            const auto gap = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_context.now);
            m_context.log.write(
                log_part::place,
                concat("Decision thread was paused beyond the session lease; revoking all starts. gap_ms=", gap.count(), " starts=", m_placer.outstanding()));
        }
        m_context.now = now;
        m_placer.sessionsExpired();
    }
}

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
    if (m_context.queue.size() > 0 && !m_placer.isWaitingForCheck()) {
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

void entry_core_private::logSpeedChanges()
{
    for (const speed_change &change : m_context.slots.takeSpeedChanges()) {
        if (m_context.log.isEnabled()) {
            m_context.log.write(log_part::place,
                                concat("An endpoint has changed its speed class. agent=",
                                       change.agent.value,
                                       " run_time_factor=",
                                       std::to_string(change.relativeFactor),
                                       " from=",
                                       change.from,
                                       " to=",
                                       change.to));
        }
    }
}

// Returns whether no request is in progress.
bool entry_core_private::isIdle() const
{
    return m_jobs.runningCount() == 0 && m_forwarder.size() == 0 && m_recoveries.size() == 0;
}

// Reports the end of the drain once, as soon as nothing is in progress or the time limit has passed.
void entry_core_private::finishDrainIfIdle()
{
    if (!m_drainEnd || m_isDrained || (!isIdle() && m_context.now < *m_drainEnd)) {
        return;
    }
    m_isDrained = true;
    m_context.actions->push_back(finish_drain{});
}

} // namespace teaselward::detail
