#pragma once

#include "base/clock.h"
#include "core/entry_id.h"
#include "core/job_request.h"
#include "core/queue_status.h"
#include "core/rule_set.h"
#include "core/task_outcome.h"
#include "core/team_usage.h"
#include "share/admission_result.h"
#include "share/queued_task.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace teaselward
{

namespace detail
{
class task_queue_private;
}

/**
 * Admission control and fair sharing at one entry: decides which jobs are accepted and which queued task starts next. Used by
 * the decision thread only.
 */
class task_queue
{
public:
    task_queue();
    ~task_queue();

    task_queue(const task_queue &) = delete;
    task_queue &operator=(const task_queue &) = delete;

    /**
     * Replaces the rules. Queued tasks stay queued.
     * @param rules new rules
     */
    void setRules(std::shared_ptr<const rule_set> rules);

    /**
     * Decides on a submission and counts its tasks as in progress if it is admitted. Every task of an admitted job must be
     * pushed, and later be passed to finish() or removed by removeJob().
     * @param job the submission
     * @param slots slots of all usable endpoints that offer the kind, free or not
     * @param now current time
     * @return the result
     */
    admission_result admit(const job_request &job, std::size_t slots, mono_time now);

    /**
     * Queues a task.
     * @param task the task
     * @param now current time
     */
    void push(queued_task task, mono_time now);

    /**
     * Puts a task that could not be started back at the front of its queue, without charging its share twice.
     * @param task a task that pop() returned
     */
    void pushFront(queued_task task);

    /**
     * Removes the task that is to start next in the fair order.
     * @param placeable checks whether a slot is free for a kind
     * @param now current time
     * @return the task; empty if no queued task can be placed
     */
    std::optional<queued_task> pop(const std::function<bool(std::string_view)> &placeable, mono_time now);

    /**
     * Removes the queued tasks of a job.
     * @param ticket ticket of the job
     * @return number of tasks removed
     */
    std::size_t removeJob(const ticket_id &ticket);

    /**
     * Removes the queued tasks whose deadline has passed. They no longer count as in progress.
     * @param now current time
     * @return the tasks
     */
    std::vector<queued_task> takeExpired(mono_time now);

    /**
     * Records the end of a task that pop() returned.
     * @param task the task
     * @param outcome its outcome with the measured run time
     * @param now current time
     */
    void finish(const queued_task &task, const task_outcome &outcome, mono_time now);

    /** @return number of queued tasks */
    std::size_t size() const;

    /**
     * Computes when a job that was queued in vain could start.
     * @param kind kind of the job
     * @param tasks number of its tasks
     * @param slots slots of the connected endpoints that offer the kind
     * @return time that the queue of the kind needs, within the limits of retry times
     */
    std::chrono::milliseconds retryAfter(std::string_view kind, std::uint32_t tasks, std::size_t slots) const;

    /** @return this entry's use of every team that has a quota, for the report to the other entries */
    std::vector<team_usage> takeUsage();

    /**
     * Records the use reported by another entry.
     * @param peer the other entry
     * @param usage its use of the team quotas
     * @param now current time
     */
    void setPeerUsage(const entry_id &peer, std::vector<team_usage> usage, mono_time now);

    /**
     * Sets the number of entries that share the quotas. The last known number remains in effect while peers are unreachable.
     * @param entries number of entries, including this one
     */
    void setEntryCount(std::size_t entries);

    /** @return state of the queue of every kind and team */
    std::vector<queue_status> status() const;

private:
    std::unique_ptr<detail::task_queue_private> d;
};

} // namespace teaselward
