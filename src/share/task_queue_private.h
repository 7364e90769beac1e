#pragma once

#include "share/task_queue.h"

#include "share/fair_order.h"
#include "share/kind_queue.h"
#include "share/queued_job.h"
#include "share/quota_ledger.h"

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <list>
#include <map>
#include <string>

namespace teaselward::detail
{

/** State of task_queue. */
class task_queue_private
{
public:
    using job_position = std::list<queued_job>::iterator;

    /**
     * Seconds of slots, over the share, that a kind may catch up for. About fifty tasks of a kind with a third of the slots:
     * a burst of a kind that does not flood passes the backlog of one that does.
     */
    static constexpr double BurstAllowance = 60;

    /** @return number of the queue of a kind, or the number of kinds if there is none */
    std::size_t findKind(std::string_view kind) const;

    /** Finds or adds the queue of a kind. */
    std::size_t kindIndex(std::string_view kind);

    /** @return weight of a team by the rules */
    double teamWeight(std::string_view team) const;

    /** Computes the shares of the kinds after a change of the rules. */
    void applyRules();

    /** Decides on a submission whose kind and team are known. */
    admission_result decide(kind_queue &kind, std::size_t team, const job_request &job, std::size_t slots, mono_time now);

    /** @return expected run time of the longest task of a job */
    static std::chrono::milliseconds expectedRun(const kind_queue &kind, const job_request &job);

    /** Finds the waiting part of a task's job or adds it to its team by its due time. */
    job_position findOrAddJob(const queued_task &task, mono_time now);

    /** Finds the waiting part of a task's job or adds it at the front of its team. */
    job_position findOrAddFront(const queued_task &task);

    /** Adds the waiting part of a task's job before a position of its team. */
    job_position addJob(const queued_task &task, std::size_t kindNumber, std::size_t teamNumber, job_position before, mono_time due);

    /** Updates the counts after tasks were queued or taken. */
    void countQueued(const queued_job &job, std::int64_t change);

    /** Removes a job that has no task waiting any more. */
    void removeEmpty(job_position job);

    /** Charges the shares of a task that starts, or refunds it if negative. */
    void charge(kind_queue &kind, std::size_t kindNumber, std::size_t team, double work);

    std::shared_ptr<const rule_set> rules = std::make_shared<rule_set>();
    std::map<std::string, std::size_t, std::less<>> kindNames;
    std::deque<kind_queue> kinds; ///< By their number in the order.
    fair_order order = fair_order(BurstAllowance); ///< Of the kinds.
    quota_ledger quotas;
    absl::flat_hash_map<ticket_id, job_position> jobs;
    std::multimap<mono_time, ticket_id> expiries;
    std::size_t size = 0;
    ticket_id admitted; ///< Latest job admitted, whose tasks are pushed next.
    std::size_t admittedTasks = 0;
    std::optional<std::chrono::milliseconds> admittedSlack; ///< Time that it may wait, if its kind has an objective.
    std::size_t entries = 1;
};

} // namespace teaselward::detail
