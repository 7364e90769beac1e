#include "job/returned_tasks.h"

#include "base/backoff.h"
#include "core/concat.h"
#include "core/reason_text.h"
#include "core/task_log_fields.h"
#include "share/latest_start.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace teaselward
{

namespace
{

// Placements of one task after which its job fails; with the delays below this takes several seconds.
constexpr std::uint32_t MaxPlacements = 12;

// Delays before a task is requeued. There is none after the first placement: a first refusal is usually caused by a credit that
// the agent took back while the start was in flight. There is none either if the endpoint leaves, since it is not chosen again.
constexpr std::uint32_t MaxImmediatePlacements = MaxPlacements / 2; // Keeps a task from using up its placements within a moment.
constexpr std::chrono::milliseconds MinDelay{10};
constexpr std::chrono::milliseconds MaxDelay{1000};

} // namespace

returned_tasks::returned_tasks(entry_context &context, job_manager &jobs)
    : m_context(context)
    , m_jobs(jobs)
{
}

void returned_tasks::add(queued_task task, const task_outcome &outcome, job_record &job)
{
    task_record &record = job.tasks.at(task.id.index);
    --job.started;
    if (m_context.log.isEnabled()) {
        m_context.log.write(log_part::place,
                            concat("Agent returned a task. ", taskLogFields(task.id), " reason=", reasonText(outcome.why), " placements=", record.placements));
    }
    if (outcome.why == reason::evacuated) {
        addEvacuated(std::move(task), outcome, job);
        return;
    }
    const std::uint32_t placements = record.placements - record.evacuatedRefusals;
    if (placements >= MaxPlacements) {
        m_context.queue.finish(task, outcome, m_context.now);
        m_jobs.fail(job, reason::noEndpoint);
        return;
    }
    record.state = task_state::delayed;
    const bool isPlaceable
        = m_context.slots.isPlaceable(m_context.offeredName(task.kind), m_context.now, m_context.highPriority(task.kind), m_context.lane(task.kind));
    if (m_jobs.refuseIfOverdue(job, latestStart(task.due, isPlaceable, m_context.now))) {
        m_context.queue.finish(task, outcome, m_context.now);
        return;
    }
    if (placements <= 1 || (outcome.why == reason::draining && placements <= MaxImmediatePlacements)) {
        requeue(std::move(task));
        return;
    }
    const auto step = std::min(MinDelay * (1U << (placements - 2)), MaxDelay);
    const auto delay = backoff(step, step).next(m_context.random);
    m_delayed.schedule(m_context.now + delay, std::move(task));
}

// The refusal says nothing about the load, so the task is placed elsewhere at once. It counts neither as a placement nor for the delays.
void returned_tasks::addEvacuated(queued_task task, const task_outcome &outcome, job_record &job)
{
    ++m_evacuatedRefusals;
    task_record &record = job.tasks.at(task.id.index);
    ++record.evacuatedRefusals;
    record.state = task_state::delayed;
    if (m_jobs.refuseIfUnplaceable(job)) {
        m_context.queue.finish(task, outcome, m_context.now);
        return;
    }
    m_jobs.renewStartTimeout(job);
    requeue(std::move(task));
}

std::uint64_t returned_tasks::evacuatedRefusals() const
{
    return m_evacuatedRefusals;
}

// Puts a task back into the queue, unless its job has been answered in the meantime.
void returned_tasks::requeue(queued_task task)
{
    job_record *job = m_jobs.findRunning(task.id.ticket);
    if (job == nullptr) {
        task_outcome dropped;
        dropped.verdict = task_verdict::notStarted;
        m_context.queue.finish(task, dropped, m_context.now);
        return;
    }
    job->tasks.at(task.id.index).state = task_state::queued;
    ++job->queued;
    m_context.queue.pushFront(std::move(task));
}

void returned_tasks::runTimers()
{
    while (auto task = m_delayed.takeDue(m_context.now)) {
        requeue(*std::move(task));
    }
}

mono_time returned_tasks::nextDue() const
{
    return m_delayed.nextDue();
}

} // namespace teaselward
