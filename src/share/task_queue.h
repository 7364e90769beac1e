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
 * Admission and fair sharing at one entry: decides which jobs are accepted and which waiting task starts next.
 * It is used by the decision thread only.
 */
class task_queue
{
public:
    task_queue();
    ~task_queue();

    task_queue(const task_queue &) = delete;
    task_queue &operator=(const task_queue &) = delete;

    /**
     * Replaces the rules. Tasks already queued stay queued.
     * @param rules rules in force from now on
     */
    void setRules(std::shared_ptr<const rule_set> rules);

    /**
     * Decides on a submission and counts its tasks as in progress if it is admitted. Every task of an admitted job must
     * be pushed, and later be passed to finish() or removed by removeJob().
     * @param job the submission
     * @param slots slots of all usable endpoints that offer the kind
     * @param now present time
     * @return the verdict
     */
    admission_result admit(const job_request &job, std::size_t slots, mono_time now);

    /**
     * Queues a task.
     * @param task the task
     * @param now present time
     */
    void push(queued_task task, mono_time now);

    /**
     * Queues a task that could not be started again at the front of its queue, without charging its share twice.
     * @param task a task that pop() returned
     */
    void pushFront(queued_task task);

    /**
     * Takes the task that is to start next by the fair order.
     * @param placeable tells whether a slot is free for a kind
     * @param now present time
     * @return the task, or nothing if no queued task can be placed
     */
    std::optional<queued_task> pop(const std::function<bool(std::string_view)> &placeable, mono_time now);

    /**
     * Drops the queued tasks of one ticket.
     * @param ticket ticket of the job
     * @return number of tasks dropped
     */
    std::size_t removeJob(const ticket_id &ticket);

    /**
     * Takes the queued tasks whose deadline has passed; they no longer count as in progress.
     * @param now present time
     * @return the tasks
     */
    std::vector<queued_task> takeExpired(mono_time now);

    /**
     * Records the end of a task that pop() returned.
     * @param task the task
     * @param outcome its outcome with the measured run time
     * @param now present time
     */
    void finish(const queued_task &task, const task_outcome &outcome, mono_time now);

    /** @return number of queued tasks */
    std::size_t size() const;

    /** @return this entry's use of every team that has a quota, for the report to the other entries */
    std::vector<team_usage> takeUsage();

    /**
     * Records the use that another entry reported.
     * @param peer the other entry
     * @param usage its use of the team quotas
     * @param now present time
     */
    void setPeerUsage(const entry_id &peer, std::vector<team_usage> usage, mono_time now);

    /**
     * Sets the number of entries that share the quotas; the last known number stays in force while peers are unreachable.
     * @param entries this entry included
     */
    void setEntryCount(std::size_t entries);

    /** @return state of the queue of every kind and team */
    std::vector<queue_status> status() const;

private:
    std::unique_ptr<detail::task_queue_private> d;
};

} // namespace teaselward
