#pragma once

#include "base/clock.h"
#include "core/job_request.h"
#include "core/reason.h"
#include "core/request_id.h"
#include "core/ticket.h"
#include "job/closed_tickets.h"
#include "job/entry_context.h"
#include "job/job_admission.h"
#include "job/job_record.h"
#include "job/job_table.h"
#include "job/ticket_issuer.h"
#include "job/timer_queue.h"
#include "job/waiter_table.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace teaselward
{

/** Life of the jobs at their home: admission, resubmissions, queries, deadlines, cancellation and the answer. */
class job_manager
{
public:
    /**
     * Creates the state without jobs.
     * @param context what the parts of the entry share
     * @param tickets tickets of this incarnation
     */
    job_manager(entry_context &context, const ticket_issuer &tickets);

    /**
     * Admits a job, or joins a resubmission to it.
     * @param request the request to answer
     * @param job the submission; this incarnation is its home
     */
    void submit(const request_id &request, job_request job);

    /**
     * Answers a query.
     * @param request the request to answer
     * @param source ticket of this incarnation
     * @param wait longest time to wait for the final answer
     */
    void query(const request_id &request, const ticket &source, std::chrono::milliseconds wait);

    /**
     * Cancels a job.
     * @param request the request to answer
     * @param source ticket of this incarnation
     */
    void cancel(const request_id &request, const ticket &source);

    /**
     * Drops a restartable job for whose answer nobody waits any more.
     * @param request request whose caller has closed its connection
     */
    void abandon(const request_id &request);

    /**
     * Finds a running job.
     * @param id its ticket
     * @return the job until it is settled, or null
     */
    job_record *findRunning(const ticket_id &id);

    /**
     * Records the result of a task, and answers the job if it was the last.
     * @param job the job
     * @param index position of the task
     * @param result its result
     */
    void finishTask(job_record &job, std::uint32_t index, std::string result);

    /**
     * Answers a job as failed and drops its queued tasks. The answer says "not run" if no task may have been started.
     * @param job the job, which ends here
     * @param why reason of the failure
     */
    void fail(job_record &job, reason why);

    /** Fails the jobs whose deadline has passed, and drops answers that were kept for their time. */
    void runTimers();

    /** @return instant of the next timer */
    mono_time nextDue() const;

    /** @return number of running jobs */
    std::size_t runningCount() const;

    /** @return number of kept answers */
    std::size_t keptCount() const;

private:
    bool answerResubmission(const request_id &request, const job_request &job);
    bool joinByKey(const request_id &request, const job_request &job, const request_digest &digest);
    void create(const request_id &request, job_request job, const request_digest &digest, std::optional<std::chrono::milliseconds> startTimeout);
    job_record *findRunningOrJoined(std::uint64_t sequence);
    void collectObsolete(const job_record &job, const ticket_id &id);
    void settle(job_record &job, const job_answer &answer);
    void failOverdue();
    void refuseUnstarted();

    entry_context &m_context;
    const ticket_issuer &m_tickets;
    job_table m_table;
    job_admission m_admission;
    waiter_table m_waiters;
    closed_tickets m_closed;
    timer_queue<std::uint64_t> m_deadlines; ///< Sequences of the running jobs.
    timer_queue<std::uint64_t> m_startTimers; ///< Sequences of the running jobs that have an objective.
};

} // namespace teaselward
