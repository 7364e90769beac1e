#include "agent/agent_core_private.h"

#include "agent/expected_run.h"
#include "core/concat.h"
#include "core/reason_text.h"
#include "core/task_log_fields.h"

#include <algorithm>
#include <array>
#include <utility>

namespace teaselward::detail
{

namespace
{

// The entry has used one credit for its request. If the agent has not taken it, the answer returns it.
constexpr std::int32_t UnusedCredit = 1;

// Minimum number of calls per session lease while there are sessions, so that a longer gap reveals a pause.
constexpr int CallsPerLease = 2;

// Checks whether the endpoint's resources limit its tasks; the slots are then only an estimate.
bool hasResourceLimits(const agent_core_settings &settings)
{
    return settings.capacity.has_value();
}

} // namespace

template<auto Member, typename Event>
void agent_core_private::call(const agent_event &event)
{
    (this->*Member)(std::get<Event>(event));
}

agent_core_private::agent_core_private(const agent_core_settings &settings, logger &log)
    : m_log(log)
    , m_ledger(settings.retention, settings.maxRecords, settings.maxResultBytes)
    , m_credits(settings.self.slots, hasResourceLimits(settings) ? "scarce" : "shared", !hasResourceLimits(settings))
    , m_resources(settings.capacity)
    , m_taskSize(settings.capacity, settings.self.slots)
    , m_warmUp(settings.coldSince, settings.warmAt)
    , m_window(settings.startWindow)
    , m_hasExactSlots(settings.exactSlots)
    , m_sessionLease(settings.sessionLease)
    , m_failureDomain(settings.self.failureDomain)
{
    if (settings.watchInterference) {
        m_interference.emplace();
    }
}

// Dispatches by the index of the event in the variant; the table has the same order.
void agent_core_private::handle(const agent_event &event, mono_time now, std::vector<agent_action> &actions)
{
    using core = agent_core_private;
    static constexpr std::array<handler, std::variant_size_v<agent_event>> handlers = {
        &core::call<&core::onStart, start_received>,
        &core::call<&core::onStop, stop_received>,
        &core::call<&core::onRevoke, revoke_received>,
        &core::call<&core::onFence, fence_received>,
        &core::call<&core::onDemand, demand_received>,
        &core::call<&core::onCallFinished, call_finished>,
        &core::call<&core::onEntryJoined, entry_joined>,
        &core::call<&core::onEntryLost, entry_lost>,
        &core::call<&core::onEntryConfirmed, entry_confirmed>,
        &core::call<&core::onEvacuationsReceived, evacuations_received>,
        &core::call<&core::onTimer, agent_timer_fired>,
        &core::call<&core::onDrainStarted, agent_drain_started>,
        &core::call<&core::onCapacityChanged, capacity_changed>,
        &core::call<&core::onStopAnnounced, stop_announced>,
        &core::call<&core::onWarmUpAnnounced, warm_up_announced>,
    };
    m_actions = &actions;
    detectPause(now);
    m_now = now;
    m_ledger.expire(now);
    reportWithdrawal();
    for (const held_start &start : m_held.takeExpired(now)) {
        refuseHeld(start, reason::overloaded);
    }
    updateSlots();
    continueWarmUp();
    if (m_window.nextDue() <= now) {
        closeWindow();
    }
    if (m_interference) {
        reportInterference(m_interference->expire(now));
    }
    (this->*handlers.at(event.index()))(event);
    finishDrainIfIdle();
    m_actions = nullptr;
}

// After a pause the entries may have expired the sessions and started the tasks elsewhere, so a start request that was buffered
// meanwhile must not be executed.
void agent_core_private::detectPause(mono_time now)
{
    if (m_sessionLease.count() == 0 || m_sessions.size() == 0 || now - m_now <= m_sessionLease) {
        return;
    }
    if (m_log.isEnabled()) {
        const auto gap = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_now);
        m_log.write(log_part::agent, concat("Process was paused; closing all sessions. gap_ms=", gap.count(), " running=", m_running.size()));
    }
    m_now = now;
    for (const entry_id &entry : m_sessions.entries()) {
        onEntryLost({.entry = entry});
    }
    m_actions->push_back(end_sessions{});
}

mono_time agent_core_private::nextDue() const
{
    const bool isDraining = m_drainEnd && !m_isDrained;
    // A longer gap between two calls shows that the thread was paused.
    const mono_time pauseCheck = m_sessionLease.count() > 0 && m_sessions.size() > 0 ? m_now + m_sessionLease / CallsPerLease : mono_time::max();
    const mono_time interference = m_interference ? m_interference->nextDue() : mono_time::max();
    return std::min({pauseCheck,
                     interference,
                     m_window.nextDue(),
                     m_warmUp.nextDue(m_now),
                     m_ledger.nextDue(),
                     m_held.nextDue(),
                     isDraining ? *m_drainEnd : mono_time::max(),
                     m_withdrawalDue.value_or(mono_time::max())});
}

// The start is recorded before the endpoint is called: a task that has a record never reaches the endpoint again.
void agent_core_private::onStart(const start_received &event)
{
    const task_id &id = event.order.id;
    const bool isConnected = m_sessions.current(event.from) != 0;
    if (isConnected) {
        grant(m_credits.setDemand(event.from, event.order.demand, m_now), nullptr);
    }
    m_taskSize.add(event.order.needs);
    // A repeated start replaces the held one; otherwise both could run.
    refuseAllHeld(
        [&id](const held_start &held) {
            return held.order.id == id;
        },
        reason::overloaded);
    const auto refuse = [this, &event](reason why, std::int32_t credits) {
        refuseStart(event.call, event.from, event.order.id, why, credits);
    };
    if (const ledger_record *record = m_ledger.find(id); record != nullptr) {
        answerKnownStart(event, *record);
    } else if (m_ledger.isFenced(id.ticket)) {
        // This reason tells the entry that its ticket was taken over, so that it abandons the job.
        refuse(reason::outcomeUnknown, UnusedCredit);
    } else if (m_drainEnd || m_hasCrashed
               || (m_window.isAnnounced() && !m_window.admits(expectedRun(event.order, m_factor.value()), event.order.restartable, m_now))) {
        refuse(reason::draining, 0);
    } else if (m_evacuations.isEvacuated(m_failureDomain)) {
        refuseEvacuated(event, isConnected ? UnusedCredit : 0);
    } else if (!m_ledger.hasRoom() || !isConnected || !m_resources.canEverFit(event.order.needs)) {
        // An unused credit is returned unless its session has ended.
        refuse(reason::overloaded, isConnected ? UnusedCredit : 0);
    } else if (event.order.restartable && !m_breaker.admits(m_now)) {
        refuse(reason::noEndpoint, UnusedCredit);
    } else if (fits(event.order) ? m_credits.take(event.from) : m_credits.spend(event.from)) {
        run(event.call, event.from, event.order);
    } else if (!m_window.isAnnounced() && m_credits.hold(event.from)) { // A held start would lose time at an endpoint that leaves.
        m_held.add({.call = event.call, .from = event.from, .order = event.order, .heldSince = m_now});
    } else {
        refuse(m_window.isAnnounced() ? reason::draining : reason::overloaded, 0);
    }
}

// Answers a start of a task that has a record: at once, or when the running task ends.
void agent_core_private::answerKnownStart(const start_received &event, const ledger_record &record)
{
    const task_id &id = event.order.id;
    if (record.state == agent_task_state::running) {
        m_running[id].calls.push_back({.call = event.call, .from = event.from, .session = m_sessions.current(event.from)});
        return;
    }
    if (record.state == agent_task_state::notStarted) {
        // The tombstone remains for the whole retention; this reason makes the entry prefer another endpoint for the task.
        refuseStart(event.call, event.from, id, m_ledger.isFenced(id.ticket) ? reason::outcomeUnknown : reason::overloaded, UnusedCredit);
        return;
    }
    if (m_log.isEnabled()) {
        m_log.write(log_part::agent, concat("Answered a repeated start from the ledger. ", taskLogFields(id), " entry=", event.from.value));
    }
    m_actions->push_back(answer_start{.call = event.call, .id = id, .outcome = record.outcome, .credits = UnusedCredit, .runTimeFactor = m_factor.value()});
}

void agent_core_private::refuseStart(const call_id &call, const entry_id &from, const task_id &id, reason why, std::int32_t credits)
{
    if (m_log.isEnabled()) {
        m_log.write(log_part::agent, concat("Refused a start. ", taskLogFields(id), " entry=", from.value, " reason=", reasonText(why)));
    }
    m_actions->push_back(answer_start{.call = call,
                                      .id = id,
                                      .outcome = {.verdict = task_verdict::notStarted, .why = why, .body = {}, .runTime = {}},
                                      .credits = credits,
                                      .runTimeFactor = m_factor.value()});
}

void agent_core_private::onStop(const stop_received &event)
{
    refuseAllHeld(
        [&event](const held_start &held) {
            return held.order.id == event.id;
        },
        reason::cancelled);
    if (const auto found = m_running.find(event.id); found != m_running.end() && found->second.restartable) {
        stopRun(event.id, found->second);
    }
}

void agent_core_private::stopRun(const task_id &id, running_task &task, reason why)
{
    if (task.isStopping) {
        return;
    }
    task.isStopping = true;
    if (m_log.isEnabled()) {
        m_log.write(log_part::agent, concat("Stopped a run. ", taskLogFields(id), " entry=", task.calls.front().from.value, " reason=", reasonText(why)));
    }
    m_actions->push_back(stop_call{.id = id, .why = why});
}

// The home entry can no longer receive the results, and the caller may soon resubmit the tasks through another entry.
void agent_core_private::stopRunsOf(const entry_id &entry)
{
    std::vector<task_id> stopped;
    for (const auto &[id, task] : m_running) {
        if (task.restartable && task.calls.front().from == entry) {
            stopped.push_back(id);
        }
    }
    std::ranges::sort(stopped); // In a defined order, so that a seed replays exactly.
    for (const task_id &id : stopped) {
        stopRun(id, m_running.at(id));
    }
}

// Answers with the state of the task. A task without a record first gets a tombstone, so that a late start is refused.
void agent_core_private::onRevoke(const revoke_received &event)
{
    refuseAllHeld(
        [&event](const held_start &held) {
            return held.order.id == event.id;
        },
        reason::overloaded);
    agent_task_status held = m_ledger.taskStatus(event.id);
    if (held.state == agent_task_state::notStarted && m_ledger.isFenced(event.id.ticket)) {
        held.outcome.why = reason::outcomeUnknown;
    } else if (m_ledger.find(event.id) == nullptr && !m_ledger.recordTombstone(event.id, m_now)) {
        // Without a tombstone a late start could still run; the state "running" makes the entry repeat the revocation.
        held.state = agent_task_state::running;
    }
    if (m_log.isEnabled()) {
        m_log.write(log_part::agent,
                    concat("Answered a revocation. ", taskLogFields(event.id), " entry=", event.from.value, " state=", static_cast<int>(held.state)));
    }
    m_actions->push_back(answer_revoke{.call = event.call, .held = std::move(held)});
}

void agent_core_private::onFence(const fence_received &event)
{
    refuseAllHeld(
        [&event](const held_start &held) {
            return held.order.id.ticket == event.ticket;
        },
        reason::outcomeUnknown);
    std::vector<agent_task_status> held = m_ledger.ticketStatus(event.ticket);
    if (!m_ledger.fence(event.ticket, m_now)) {
        // A ticket that could not be fenced must not look complete or idle. This task makes the entry repeat the fence.
        held.push_back({.id = {.ticket = event.ticket, .index = 0}, .state = agent_task_state::running, .outcome = {}});
    }
    if (m_log.isEnabled()) {
        m_log.write(log_part::agent, concat("Fenced a ticket. ", ticketLogField(event.ticket), " entry=", event.from.value, " held=", held.size()));
    }
    m_actions->push_back(answer_fence{.call = event.call, .held = std::move(held)});
}

void agent_core_private::onDemand(const demand_received &event)
{
    if (m_sessions.current(event.from) != 0) {
        grant(m_credits.setDemand(event.from, event.queued, m_now), nullptr);
    }
}

// Records the outcome, frees the slot and answers all waiting requests. The first answer carries the credits. The entries must
// learn of a crash before the answers, or they would place the tasks here again.
void agent_core_private::onCallFinished(const call_finished &event)
{
    const auto found = m_running.find(event.id);
    if (found == m_running.end()) {
        return;
    }
    if (event.outcome.endpointCrashed && !m_hasCrashed) {
        if (isLeaving()) {
            // The end of the endpoint was announced, so it is no crash.
            call_finished planned = event;
            planned.outcome.endpointCrashed = false;
            onCallFinished(planned);
            return;
        }
        reportCrash(event);
    }
    const std::vector<waiting_call> calls = std::move(found->second.calls);
    const bool breakerOpened = found->second.restartable && m_breaker.record(found->second.job, event.outcome, m_now);
    if (event.outcome.verdict == task_verdict::succeeded) {
        m_factor.add(event.outcome.runTime, found->second.expectedRun, m_now);
    }
    m_resources.release(found->second.needs);
    if (found->second.highPriority) {
        m_reserve.ended(found->second.needs, m_now);
    }
    watchEnd(found->second, event.outcome);
    m_running.erase(found);
    updateSlots();
    m_ledger.recordOutcome(event.id, event.outcome, m_now);
    const waiting_call &first = calls.front();
    const bool isSameSession = first.session == m_sessions.current(first.from);
    std::int32_t credits = grant(m_credits.release(first.from, m_now), isSameSession ? &first.from : nullptr);
    if (m_log.isEnabled()) {
        m_log.write(log_part::agent,
                    concat("A task ended. ",
                           taskLogFields(event.id),
                           " verdict=",
                           static_cast<int>(event.outcome.verdict),
                           " reason=",
                           reasonText(event.outcome.why),
                           " run_us=",
                           event.outcome.runTime.count()));
    }
    for (const waiting_call &one : calls) {
        m_actions->push_back(answer_start{.call = one.call, .id = event.id, .outcome = event.outcome, .credits = credits, .runTimeFactor = m_factor.value()});
        credits = UnusedCredit;
    }
    if (breakerOpened) {
        onBreakerOpened();
    }
    if (m_window.isOpen(m_now) && event.outcome.verdict == task_verdict::notStarted && event.outcome.why != reason::draining) {
        closeWindow(); // The endpoint accepts no more starts.
    }
    startHeld();
}

void agent_core_private::onEntryJoined(const entry_joined &event)
{
    dropHeldOf(event.info.id);
    stopRunsOf(event.info.id);
    m_sessions.begin(event.info.id, event.confirmedAt);
    grant(m_credits.join(event.info.id, m_now), nullptr);
    if (m_interference && m_interference->nextDue() != mono_time::max()) {
        m_actions->push_back(report_interference{.pairs = m_interference->pairs(), .entry = event.info.id});
    }
}

void agent_core_private::onEntryLost(const entry_lost &event)
{
    dropHeldOf(event.entry);
    stopRunsOf(event.entry);
    m_sessions.end(event.entry);
    grant(m_credits.leave(event.entry, m_now), nullptr);
    startHeld();
}

// A run carries the latest confirmation with its start, so the adapter needs no others while the entry has no run.
void agent_core_private::onEntryConfirmed(const entry_confirmed &event)
{
    const std::uint64_t session = m_sessions.current(event.entry);
    m_sessions.confirm(event.entry, event.at);
    const auto isHome = [session](const auto &item) {
        return item.second.calls.front().session == session;
    };
    if (session != 0 && std::ranges::any_of(m_running, isHome)) {
        m_actions->push_back(confirm_home{.session = session, .at = event.at});
    }
}

void agent_core_private::onTimer(const agent_timer_fired & /*event*/)
{
}

void agent_core_private::onDrainStarted(const agent_drain_started &event)
{
    if (m_drainEnd) {
        return;
    }
    m_window.close();
    m_drainEnd = m_now + event.bound;
    m_credits.close();
    m_actions->push_back(announce_leaving{});
    refuseAllHeld(
        [](const held_start & /*held*/) {
            return true;
        },
        reason::draining);
    if (m_log.isEnabled()) {
        m_log.write(log_part::agent, concat("Draining. running=", m_running.size(), " bound_ms=", event.bound.count()));
    }
}

// Running tasks continue even if they exceed the new capacity; new ones start once enough of them have ended.
void agent_core_private::onCapacityChanged(const capacity_changed &event)
{
    m_resources.resize(event.capacity);
    m_taskSize.resize(event.capacity);
    updateSlots();
    refuseAllHeld(
        [this](const held_start &held) {
            return !m_resources.canEverFit(held.order.needs);
        },
        reason::overloaded);
    startHeld();
    grant(m_credits.adjustAll(m_now), nullptr);
}

// Tells the allocator how many tasks fit beside the reserve for high-priority kinds, and how many a cold endpoint may get. With more entries than slots the
// exact number makes more starts collide: with 13 entries and ten slots a hundredth of the urgent jobs more was late in floods.
void agent_core_private::updateSlots()
{
    const std::uint32_t reserved = m_reserve.unusedMillis(m_now);
    const bool isExact = m_hasExactSlots && m_sessions.size() <= m_taskSize.slots();
    const auto running = static_cast<std::uint32_t>(m_running.size());
    const std::uint32_t slots = isExact ? m_taskSize.slotsBeside(running, m_resources.usedMillis() + reserved) : m_taskSize.slots(reserved);
    m_credits.resize(m_warmUp.slots(slots, m_now));
}

// Sends credit changes. Those for the entry that is being answered are returned instead, to be sent with the answer.
std::int32_t agent_core_private::grant(const std::vector<credit_grant> &grants, const entry_id *answeredEntry)
{
    std::int32_t piggybacked = 0;
    for (const credit_grant &one : grants) {
        if (answeredEntry != nullptr && one.entry == *answeredEntry) {
            piggybacked += one.delta;
        } else {
            m_actions->push_back(grant_credits{.entry = one.entry, .delta = one.delta});
        }
    }
    return piggybacked;
}

// Finishes the drain once no call is in progress or the time limit has passed.
void agent_core_private::finishDrainIfIdle()
{
    if (!m_drainEnd || m_isDrained || (!m_running.empty() && m_now < *m_drainEnd)) {
        return;
    }
    m_isDrained = true;
    m_actions->push_back(finish_agent_drain{});
}

} // namespace teaselward::detail
