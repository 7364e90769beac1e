#include "job/suspect_tasks.h"

#include "core/task_outcome.h"

#include <utility>

namespace teaselward
{

suspect_tasks::suspect_tasks(entry_context &context, job_manager &jobs)
    : m_context(context)
    , m_jobs(jobs)
{
}

void suspect_tasks::add(queued_task task)
{
    m_tasks.push_back(std::move(task));
}

// Removes the tasks whose job has been answered in the meantime.
void suspect_tasks::dropAnswered()
{
    std::erase_if(m_tasks, [this](const queued_task &task) {
        if (m_jobs.findRunning(task.id.ticket) != nullptr) {
            return false;
        }
        task_outcome dropped;
        dropped.verdict = task_verdict::notStarted;
        m_context.queue.finish(task, dropped, m_context.now);
        return true;
    });
}

std::optional<queued_task> suspect_tasks::take()
{
    dropAnswered();
    for (auto task = m_tasks.begin(); task != m_tasks.end(); ++task) {
        if (m_context.slots.isPlaceable(
                m_context.offeredName(task->kind), m_context.now, m_context.highPriority(task->kind), m_context.lane(task->kind, true))) {
            queued_task found = std::move(*task);
            m_tasks.erase(task);
            return found;
        }
    }
    return std::nullopt;
}

bool suspect_tasks::isEmpty() const
{
    return m_tasks.empty();
}

} // namespace teaselward
