#pragma once

#include "base/clock.h"
#include "core/task_outcome.h"
#include "job/entry_context.h"
#include "job/job_manager.h"
#include "job/job_record.h"
#include "job/timer_queue.h"
#include "share/queued_task.h"

#include <cstdint>

namespace teaselward
{

/** Requeues tasks whose run did not take place or ended without a result, with increasing delays and a limited number of placements. */
class returned_tasks
{
public:
    /**
     * Creates the state without delayed tasks.
     * @param context state shared by the parts of the entry
     * @param jobs jobs that the tasks belong to
     */
    returned_tasks(entry_context &context, job_manager &jobs);

    /**
     * Requeues a task, or fails its job after too many placements.
     * @param task the task
     * @param outcome outcome of its last placement
     * @param job its job
     */
    void add(queued_task task, const task_outcome &outcome, job_record &job);

    /** Requeues the tasks whose delay has passed. */
    void runTimers();

    /** @return time of the next timer */
    mono_time nextDue() const;

    /** @return number of starts that agents have refused because their failure domain is evacuated */
    std::uint64_t evacuatedRefusals() const;

private:
    void addEvacuated(queued_task task, const task_outcome &outcome, job_record &job);
    void requeue(queued_task task);

    entry_context &m_context;
    job_manager &m_jobs;
    timer_queue<queued_task> m_delayed;
    std::uint64_t m_evacuatedRefusals = 0;
};

} // namespace teaselward
