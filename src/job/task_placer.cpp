#include "job/task_placer.h"

#include "core/concat.h"
#include "core/task_log_fields.h"
#include "job/failure_reason.h"
#include "share/run_allowance.h"

#include <string>
#include <utility>

namespace teaselward
{

namespace
{

// Number of times that the delay between revocations doubles.
constexpr int MaxRevokeDoublings = 5;

} // namespace

task_placer::task_placer(entry_context &context, job_manager &jobs)
    : m_context(context)
    , m_jobs(jobs)
    , m_returned(context, jobs)
    , m_suspects(context, jobs)
    , m_placeable([this](std::string_view kind) {
        return m_context.slots.isPlaceable(m_context.offeredName(kind), m_context.now, m_context.highPriority(kind), m_context.lane(kind));
    })
{
}

// A task whose caller was not seen for too long stops the placement until the next check, which covers all callers at once.
std::size_t task_placer::placeAll()
{
    const bool wasWaiting = std::exchange(m_isWaitingForCheck, false);
    std::size_t placed = placeSuspects();
    while (m_context.queue.size() > 0) {
        std::optional<queued_task> task = m_context.queue.pop(m_placeable, m_context.now);
        if (!task) {
            break;
        }
        job_record *job = m_jobs.findRunning(task->id.ticket);
        if (job == nullptr) {
            m_context.queue.finish(*task, {.verdict = task_verdict::notStarted, .why = reason::none, .body = {}, .runTime = {}}, m_context.now);
            continue;
        }
        if (!isCallerPresent(*job)) {
            if (!wasWaiting) {
                logWait(*task, *job);
            }
            m_context.queue.pushFront(*std::move(task));
            m_isWaitingForCheck = true;
            break;
        }
        if (isQuarantinedSuspect(*task, *job)) {
            --job->queued;
            job->tasks.at(task->id.index).state = task_state::delayed;
            m_suspects.add(*std::move(task));
            continue;
        }
        const std::optional<agent_id> agent = acquire(*task, false);
        if (!agent) {
            m_context.queue.pushFront(*std::move(task));
            break;
        }
        start(*std::move(task), *agent, *job);
        ++placed;
    }
    return placed;
}

std::size_t task_placer::placeSuspects()
{
    std::size_t placed = 0;
    while (std::optional<queued_task> task = m_suspects.take()) {
        job_record &job = *m_jobs.findRunning(task->id.ticket);
        const std::optional<agent_id> agent = isCallerPresent(job) ? acquire(*task, true) : std::nullopt;
        if (!agent) {
            m_suspects.add(*std::move(task));
            break;
        }
        ++job.queued;
        start(*std::move(task), *agent, job);
        ++placed;
    }
    return placed;
}

bool task_placer::isWaitingForCheck() const
{
    return m_isWaitingForCheck;
}

// Returns whether the evidence that a caller waits for the job is recent enough to start its tasks.
bool task_placer::isCallerPresent(const job_record &job) const
{
    const mono_time seenAt = m_context.callers.seenAt(job);
    return seenAt > m_context.now - m_context.settings.placeEvidenceLimit;
}

void task_placer::logWait(const queued_task &task, const job_record &job) const
{
    if (m_context.log.isEnabled()) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(m_context.now - m_context.callers.seenAt(job));
        m_context.log.write(log_part::place,
                            concat("Placing waits until the callers' connections are checked. ",
                                   taskLogFields(task.id),
                                   " job=",
                                   job.key,
                                   " evidence_age_ms=",
                                   age.count(),
                                   " queued=",
                                   m_context.queue.size()));
    }
}

// Checks whether an endpoint has crashed under a task whose kind is quarantined.
bool task_placer::isQuarantinedSuspect(const queued_task &task, const job_record &job) const
{
    return m_context.quarantine.contains(task.kind) && job.tasks.at(task.id.index).crashes.isSuspect();
}

std::optional<agent_id> task_placer::acquire(const queued_task &task, bool isSuspect)
{
    const double maxFactor = maxRunTimeFactor(task, m_context.expectedRuns, m_context.now);
    return m_context.slots.acquire(m_context.offeredName(task.kind),
                                   m_context.now,
                                   m_context.highPriority(task.kind),
                                   m_context.lane(task.kind, isSuspect),
                                   maxFactor,
                                   m_context.interference.groupOf(task.kind));
}

// The placement is recorded before the start is sent, so that an answer always finds it.
void task_placer::start(queued_task task, const agent_id &agent, job_record &job)
{
    task_record &record = job.tasks.at(task.id.index);
    record.state = task_state::placed;
    ++record.placements;
    task.id.attempt = job.restartable ? record.placements : 0;
    --job.queued;
    ++job.started;
    if (m_context.log.isEnabled()) {
        m_context.log.write(log_part::place, concat("Placed a task. ", taskLogFields(task.id), " kind=", task.kind, " agent=", agent.value));
    }
    start_task action{.agent = agent, .order = {}};
    if (job.needsCaller) {
        action.expiresAt = m_context.callers.seenAt(job) + m_context.settings.sendEvidenceLimit;
    }
    action.order.id = task.id;
    action.order.kind = task.kind;
    action.order.team = task.team;
    action.order.payload = record.payload;
    action.order.timeLimit = std::chrono::ceil<std::chrono::milliseconds>(job.deadline - m_context.now);
    action.order.demand = static_cast<std::uint32_t>(m_context.queue.size());
    action.order.key = job.key;
    action.order.needs = job.needs;
    action.order.restartable = job.restartable;
    action.order.estimate = job.estimate;
    action.order.expectedRun = m_context.expectedRuns.expect(task.kind, job.estimate);
    action.order.highPriority = m_context.highPriority(task.kind);
    action.order.crashAge = record.crashes.lastAge();
    if (task.due) {
        action.order.slack = std::chrono::floor<std::chrono::milliseconds>(*task.due - m_context.now);
    }
    m_placements.add({.task = std::move(task),
                      .agent = agent,
                      .declared = job.estimate,
                      .state = placement_state::sent,
                      .lostAt = std::nullopt,
                      .delays = std::nullopt,
                      .timer = std::nullopt});
    m_context.actions->push_back(std::move(action));
}

void task_placer::finished(const agent_id &agent, const task_id &id, task_outcome outcome, std::int32_t credits)
{
    const placement *placed = m_placements.find(id);
    if (placed == nullptr || placed->agent != agent) {
        if (m_context.log.isEnabled()) {
            m_context.log.write(log_part::place, concat("Ignored a late answer to a start. ", taskLogFields(id), " agent=", agent.value));
        }
        m_context.slots.addCredits(agent, credits);
        return;
    }
    resolve(id, std::move(outcome), credits);
}

// Ends a placement: releases its slot and passes the outcome to the job, unless the job has been answered in the meantime.
void task_placer::resolve(const task_id &id, task_outcome outcome, std::int32_t credits)
{
    placement placed = m_placements.take(id);
    if (placed.timer) {
        m_revocations.cancel(*placed.timer);
    }
    if (outcome.verdict == task_verdict::succeeded) {
        m_context.expectedRuns.add(placed.task.kind, placed.declared, outcome.runTime, m_context.slots.forecastFactor(placed.agent));
    }
    m_context.slots.release(placed.agent, placed.task.kind, outcome, credits, m_context.now);
    job_record *job = m_jobs.findRunning(id.ticket);
    if (job != nullptr && placed.state == placement_state::ambiguous) {
        --job->ambiguous;
    }
    if (job != nullptr && outcome.verdict == task_verdict::notStarted && outcome.why != reason::outcomeUnknown) {
        m_returned.add(std::move(placed.task), outcome, *job);
        return;
    }
    if (job != nullptr && job->restartable && isGivenUp(id, outcome, job->tasks.at(id.index))) {
        job->hasRun = true;
        m_context.queue.finish(placed.task, outcome, m_context.now);
        m_jobs.fail(*job, reason::taskFailed);
        return;
    }
    if (job != nullptr && job->restartable && mayRestart(outcome, job->tasks.at(id.index), *job)) {
        job->hasRun = true;
        m_returned.add(std::move(placed.task), outcome, *job);
        return;
    }
    m_context.queue.finish(placed.task, outcome, m_context.now);
    if (job == nullptr) {
        return;
    }
    if (outcome.verdict == task_verdict::succeeded) {
        m_context.quarantine.recordSuccess(placed.task.kind);
        m_jobs.finishTask(*job, id.index, std::move(outcome.body));
    } else {
        // An agent that was fenced for this ticket refuses its starts with outcomeUnknown, since another entry has answered the job.
        m_jobs.fail(*job, failureReason(outcome));
    }
}

// Records the crash of an endpoint under a task. Returns whether the task has caused it and must not be started again.
bool task_placer::isGivenUp(const task_id &id, const task_outcome &outcome, task_record &record)
{
    if (!outcome.endpointCrashed) {
        return false;
    }
    record.crashes.add(std::chrono::duration_cast<std::chrono::milliseconds>(outcome.runTime));
    if (!record.crashes.isExhausted()) {
        return false;
    }
    if (m_context.log.isEnabled()) {
        m_context.log.write(log_part::place,
                            concat("Gave up a task under which endpoints crashed. ",
                                   taskLogFields(id),
                                   " placements=",
                                   record.placements,
                                   " crash_age_ms=",
                                   record.crashes.lastAge()->count()));
    }
    return true;
}

// Returns whether a restartable task is placed again after a run without a result. Counts a failed run.
bool task_placer::mayRestart(const task_outcome &outcome, task_record &record, const job_record &job) const
{
    if (outcome.verdict == task_verdict::failed) {
        return ++record.failures < job.attempts;
    }
    return outcome.verdict == task_verdict::interrupted || outcome.verdict == task_verdict::unknown;
}

void task_placer::stopObsolete()
{
    for (const task_id &id : m_context.obsolete) {
        if (const placement *placed = m_placements.find(id); placed != nullptr) {
            m_context.actions->push_back(stop_task{.agent = placed->agent, .id = id});
        }
    }
    m_context.obsolete.clear();
}

void task_placer::unanswered(const agent_id &agent, const task_id &id)
{
    placement *placed = m_placements.find(id);
    if (placed != nullptr && placed->agent == agent && placed->state == placement_state::sent) {
        markAmbiguous(*placed);
        sendRevocation(id);
    }
}

// Marks a start whose answer was lost, if it is not marked yet.
void task_placer::markAmbiguous(placement &placed)
{
    if (placed.state != placement_state::sent) {
        return;
    }
    placed.state = placement_state::ambiguous;
    placed.delays.emplace(m_context.settings.revokeRetryDelay, m_context.settings.revokeRetryDelay * (1 << MaxRevokeDoublings));
    if (job_record *job = m_jobs.findRunning(placed.task.id.ticket); job != nullptr) {
        ++job->ambiguous;
    }
}

// Schedules the next revocation of a start, instead of one already scheduled.
void task_placer::scheduleRevocation(placement &placed, std::chrono::milliseconds delay)
{
    if (placed.timer) {
        m_revocations.cancel(*placed.timer);
    }
    placed.timer = m_revocations.schedule(m_context.now + delay, placed.task.id);
}

// Asks an agent to revoke a start or report its outcome. Ends the placement instead if the job has been answered, or if the agent
// has been lost for so long that the run of a restartable task has ended.
void task_placer::sendRevocation(const task_id &id)
{
    placement *placed = m_placements.find(id);
    if (m_jobs.findRunning(id.ticket) == nullptr) {
        resolve(id, unknownOutcome(), 0);
        return;
    }
    if (placed->lostAt && m_context.now >= *placed->lostAt + m_context.settings.lostRunTimeout && m_jobs.findRunning(id.ticket)->restartable) {
        resolve(id, {.verdict = task_verdict::interrupted, .why = reason::outcomeUnknown, .body = {}, .runTime = {}}, 0);
        return;
    }
    if (m_context.log.isEnabled()) {
        m_context.log.write(log_part::place, concat("Revoked a start. ", taskLogFields(id), " agent=", placed->agent.value));
    }
    m_context.actions->push_back(revoke_task{.agent = placed->agent, .id = id, .delay = {}});
    auto delay = placed->delays->next(m_context.random);
    if (placed->lostAt) {
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(*placed->lostAt + m_context.settings.lostRunTimeout - m_context.now);
        delay = left.count() > 0 ? std::min(delay, left) : delay;
    }
    scheduleRevocation(*placed, delay);
}

void task_placer::revoked(const agent_id &agent, agent_task_status held)
{
    placement *placed = m_placements.find(held.id);
    if (placed == nullptr || placed->agent != agent || placed->state == placement_state::sent) {
        return;
    }
    switch (held.state) {
    case agent_task_state::notStarted:
        held.outcome.verdict = task_verdict::notStarted;
        resolve(held.id, std::move(held.outcome), 0);
        break;
    case agent_task_state::finished:
        resolve(held.id, std::move(held.outcome), 0);
        break;
    case agent_task_state::running:
        if (placed->state == placement_state::ambiguous) {
            placed->state = placement_state::running;
            placed->delays.emplace(m_context.settings.revokeRetryDelay, m_context.settings.revokeRetryDelay * (1 << MaxRevokeDoublings));
            if (job_record *job = m_jobs.findRunning(held.id.ticket); job != nullptr) {
                --job->ambiguous;
            }
            scheduleRevocation(*placed, placed->delays->next(m_context.random));
        }
        break;
    }
}

void task_placer::connectionLost(const agent_id &agent)
{
    for (const task_id &id : m_placements.tasksAt(agent)) {
        placement &placed = *m_placements.find(id);
        if (placed.state == placement_state::sent) {
            markAmbiguous(placed);
            scheduleRevocation(placed, placed.delays->next(m_context.random));
        }
        if (!placed.lostAt) {
            placed.lostAt = m_context.now;
        }
    }
}

void task_placer::connectionRestored(const agent_id &agent)
{
    for (const task_id &id : m_placements.tasksAt(agent)) {
        placement &placed = *m_placements.find(id);
        placed.lostAt.reset();
        markAmbiguous(placed);
        sendRevocation(id);
    }
}

void task_placer::incarnationGone(const agent_id &agent)
{
    for (const task_id &id : m_placements.tasksAt(agent)) {
        resolve(id, unknownOutcome(), 0);
    }
}

// The answers may still be in the ring behind this event, so placements of answered jobs are kept.
void task_placer::sessionsExpired()
{
    for (const task_id &id : m_placements.tasks()) {
        placement &placed = *m_placements.find(id);
        if (placed.state == placement_state::sent && m_jobs.findRunning(id.ticket) != nullptr) {
            markAmbiguous(placed);
            scheduleRevocation(placed, placed.delays->next(m_context.random));
        }
    }
}

// While suspect tasks wait, their kind stays quarantined, so that they start on the endpoints reserved for them.
void task_placer::releaseKinds()
{
    if (m_context.quarantine.isEmpty() || !m_suspects.isEmpty()) {
        return;
    }
    for (const std::string &kind : m_context.quarantine.release(m_context.now)) {
        if (m_context.log.isEnabled()) {
            m_context.log.write(log_part::place, concat("Released a kind from quarantine. kind=", kind));
        }
    }
    m_context.slots.setIsolated(!m_context.quarantine.isEmpty(), m_context.now);
}

void task_placer::runTimers()
{
    releaseKinds();
    while (const auto id = m_revocations.takeDue(m_context.now)) {
        m_placements.find(*id)->timer.reset();
        sendRevocation(*id);
    }
    m_returned.runTimers();
}

mono_time task_placer::nextDue() const
{
    return std::min(m_revocations.nextDue(), m_returned.nextDue());
}

std::uint64_t task_placer::evacuatedRefusals() const
{
    return m_returned.evacuatedRefusals();
}

std::size_t task_placer::outstanding() const
{
    return m_placements.size();
}

} // namespace teaselward
