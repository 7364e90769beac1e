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
     * Slot seconds, divided by the share, that a kind may catch up on. This is about fifty tasks of a kind with a third of the
     * slots, so that a burst of a kind within its share passes the backlog of a flooding kind.
     */
    static constexpr double BurstAllowance = 60;

    /** @return index of a kind; the number of kinds if there is none */
    std::size_t findKind(std::string_view kind) const;

    /** Finds or adds a kind. */
    std::size_t kindIndex(std::string_view kind);

    /** @return weight of a team according to the rules */
    double teamWeight(std::string_view team) const;

    /** Computes the shares of the kinds from the rules. */
    void applyRules();

    /** Decides on a submission whose kind and team are known. */
    admission_result decide(kind_queue &kind, std::size_t team, const job_request &job, std::size_t slots, mono_time now);

    /** @return slots that the kind can expect to use, out of those of the connected endpoints */
    double usableSlots(const kind_queue &kind, std::size_t slots) const;

    /** @return time that the queue of a kind needs, with a job of that many tasks, within the limits of retry times */
    std::chrono::milliseconds retryAfter(std::string_view kind, std::uint32_t tasks, std::size_t slots) const;

    /** @return expected run time of the longest task of a job */
    static std::chrono::milliseconds expectedRun(const kind_queue &kind, const job_request &job);

    /** @return time that the job of a kind that is to start next has been queued; zero if none is queued */
    static mono_clock::duration headWait(const kind_queue &kind, mono_time now);

    /** Finds the queued job of a task, or adds it to its team by due time. */
    job_position findOrAddJob(const queued_task &task, mono_time now);

    /** Finds the queued job of a task, or adds it at the front of its team. */
    job_position findOrAddFront(const queued_task &task);

    /** Adds the queued job of a task before a position of its team. */
    job_position addJob(const queued_task &task, std::size_t kindNumber, std::size_t teamNumber, job_position before, mono_time due, mono_time now);

    /** Updates the counts after tasks were queued or removed. */
    void countQueued(const queued_job &job, std::int64_t change);

    /** Removes a job that has no queued tasks left. */
    void removeEmpty(job_position job);

    /** Charges the shares of kind and team for a task that starts; a negative amount is a refund. */
    void charge(kind_queue &kind, std::size_t kindNumber, std::size_t team, double work);

    std::shared_ptr<const rule_set> rules = std::make_shared<rule_set>();
    std::map<std::string, std::size_t, std::less<>> kindNames;
    std::deque<kind_queue> kinds; ///< Indexed like the order.
    fair_order order = fair_order(BurstAllowance); ///< Order of the kinds.
    quota_ledger quotas;
    absl::flat_hash_map<ticket_id, job_position> jobs;
    std::multimap<mono_time, ticket_id> expiries;
    std::size_t size = 0;
    ticket_id admitted; ///< Last admitted job, whose tasks are pushed next.
    std::size_t admittedTasks = 0;
    std::chrono::milliseconds admittedRun{}; ///< Expected run time of its longest task.
    std::optional<std::chrono::milliseconds> admittedSlack; ///< Time that the job may wait, if its kind has an objective.
    std::size_t entries = 1;
    mono_time latest{}; ///< Time of the last call of pop().
};

} // namespace teaselward::detail
