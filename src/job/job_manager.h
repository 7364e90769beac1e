#pragma once

#include "base/clock.h"
#include "core/job_request.h"
#include "core/reason.h"
#include "core/refusal_decision.h"
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

/** Manages the jobs of this entry from admission to the final answer, including resubmissions, queries, deadlines and cancellation. */
class job_manager
{
public:
    /**
     * Creates a manager without jobs.
     * @param context state shared by the parts of the entry
     * @param tickets issuer of the tickets of this incarnation
     */
    job_manager(entry_context &context, const ticket_issuer &tickets);

    /**
     * Admits a new job, or attaches a resubmission to the job of its ticket.
     * @param request the request to answer
     * @param job the submission; this incarnation is its home
     * @param callerSeenAt time at which the caller was seen connected; the default if that is not known
     */
    void submit(const request_id &request, job_request job, mono_time callerSeenAt = mono_time{});

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
     * Cancels a restartable job once no request waits for its answer any more.
     * @param request request whose caller closed its connection
     */
    void abandon(const request_id &request);

    /**
     * Finds a running job.
     * @param id its ticket
     * @return the job, valid until it is answered, or null
     */
    job_record *findRunning(const ticket_id &id);

    /**
     * Records the result of a task and answers the job if all results are there.
     * @param job the job
     * @param index position of the task
     * @param result its result
     */
    void finishTask(job_record &job, std::uint32_t index, std::string result);

    /**
     * Answers a job as failed and drops its queued tasks. The answer says "not run" if no task can have been started.
     * @param job the job, which is destroyed by the call
     * @param why reason of the failure
     */
    void fail(job_record &job, reason why);

    /**
     * Refuses a job whose start timeout has passed and none of whose tasks can have been started. To be called when an agent
     * has returned a task: without it the job would stay queued until its deadline.
     * @param job the job, which is destroyed if it is refused
     * @param latestStart time until which the job may still start; empty if it may not
     * @return whether it was refused
     */
    bool refuseIfOverdue(job_record &job, std::optional<mono_time> latestStart = std::nullopt);

    /**
     * Refuses a job if no connected endpoint outside the evacuated failure domains offers its kind and none of its tasks can have been
     * started. It would otherwise wait until its deadline.
     * @param job the job, which is destroyed if it is refused
     * @return whether it was refused
     */
    bool refuseIfUnplaceable(job_record &job);

    /** Applies refuseIfUnplaceable() to all running jobs, after a change of the evacuated failure domains. */
    void refuseUnplaceable();

    /**
     * Restarts the start timeout of a job whose time was spent at an endpoint of an evacuated failure domain.
     * @param job the job
     */
    void renewStartTimeout(job_record &job);

    /** Fails the jobs whose deadline has passed, refuses those that cannot meet their objective, and drops expired answers. */
    void runTimers();

    /** @return time of the next timer */
    mono_time nextDue() const;

    /** @return number of running jobs */
    std::size_t runningCount() const;

    /** @return number of kept answers */
    std::size_t keptCount() const;

private:
    bool answerResubmission(const request_id &request, const job_request &job, mono_time callerSeenAt);
    bool joinByKey(const request_id &request, const job_request &job, const request_digest &digest, mono_time callerSeenAt);
    job_record &create(job_request job, const request_digest &digest, std::optional<std::chrono::milliseconds> startTimeout);
    job_record *findRunningOrJoined(std::uint64_t sequence);
    void collectObsolete(const job_record &job, const ticket_id &id);
    void settle(job_record &job, const job_answer &answer, refusal_decision decision = refusal_decision::none);
    void failOverdue();
    void refuseUnstarted();

    entry_context &m_context;
    const ticket_issuer &m_tickets;
    job_table m_table;
    job_admission m_admission;
    waiter_table m_waiters;
    closed_tickets m_closed;
    timer_queue<std::uint64_t> m_deadlines; ///< Sequence numbers of the running jobs.
    timer_queue<std::uint64_t> m_startTimers; ///< Sequence numbers of the running jobs that have an objective.
};

} // namespace teaselward
