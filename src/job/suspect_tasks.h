#pragma once

#include "job/entry_context.h"
#include "job/job_manager.h"
#include "share/queued_task.h"

#include <deque>
#include <optional>

namespace teaselward
{

/**
 * Tasks of quarantined kinds under which an endpoint has crashed. They wait outside the queue of their kind, because the endpoints
 * reserved for them may be away while the other tasks of the kind can start.
 */
class suspect_tasks
{
public:
    /**
     * Creates an empty list.
     * @param context state shared by the parts of the entry
     * @param jobs jobs that the tasks belong to
     */
    suspect_tasks(entry_context &context, job_manager &jobs);

    /**
     * Adds a task that the queue has returned and that is not placed.
     * @param task the task
     */
    void add(queued_task task);

    /** @return the next task that can be placed now; empty if there is none */
    std::optional<queued_task> take();

    /** @return whether no task waits */
    bool isEmpty() const;

private:
    void dropAnswered();

    entry_context &m_context;
    job_manager &m_jobs;
    std::deque<queued_task> m_tasks; ///< Oldest first; bounded by the starts that this entry has lost with crashed endpoints.
};

} // namespace teaselward
