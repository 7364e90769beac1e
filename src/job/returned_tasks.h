#pragma once

#include "base/clock.h"
#include "core/task_outcome.h"
#include "job/entry_context.h"
#include "job/job_manager.h"
#include "job/job_record.h"
#include "job/timer_queue.h"
#include "share/queued_task.h"

namespace teaselward
{

/** Tasks that an agent did not start; they go back to the queue, with growing delays, a limited number of times. */
class returned_tasks
{
public:
    /**
     * Creates the state without tasks.
     * @param context what the parts of the entry share
     * @param jobs jobs that the tasks belong to
     */
    returned_tasks(entry_context &context, job_manager &jobs);

    /**
     * Takes a task back, or fails its job after too many refusals.
     * @param task the task
     * @param outcome why it was not started
     * @param job its job
     */
    void add(queued_task task, const task_outcome &outcome, job_record &job);

    /** Queues the tasks whose delay is over. */
    void runTimers();

    /** @return instant of the next timer */
    mono_time nextDue() const;

private:
    void requeue(queued_task task);

    entry_context &m_context;
    job_manager &m_jobs;
    timer_queue<queued_task> m_delayed;
};

} // namespace teaselward
