#pragma once

#include "base/clock.h"
#include "core/job_answer.h"
#include "core/request_id.h"
#include "core/ticket_id.h"
#include "job/entry_context.h"
#include "job/job_record.h"
#include "job/job_table.h"
#include "job/query_wait.h"
#include "job/timer_queue.h"

#include <chrono>
#include <optional>

namespace teaselward
{

/** Manages the requests that wait for the answers of running jobs. */
class waiter_table
{
public:
    /**
     * Creates a table without waiting requests.
     * @param context state shared by the parts of the entry
     */
    explicit waiter_table(entry_context &context);

    /**
     * Lets a request wait for the answer of a running job.
     * @param job the job
     * @param request the request
     * @param ticket ticket named by the request
     * @param wait longest time to wait; if empty, the request waits for the final answer
     * @param seenAt time at which the caller was seen connected; the default if that is not known
     */
    void
    add(job_record &job, const request_id &request, const ticket_id &ticket, std::optional<std::chrono::milliseconds> wait, mono_time seenAt = mono_time{});

    /**
     * Answers all requests that wait for a job.
     * @param job the job
     * @param answer its final answer
     */
    void answer(job_record &job, const job_answer &answer);

    /**
     * Replies that the job is still running to the requests whose wait has ended.
     * @param jobs the jobs
     */
    void runTimers(job_table &jobs);

    /** @return time of the next timer */
    mono_time nextDue() const;

private:
    void replyRunning(const request_id &request, const ticket_id &ticket);

    entry_context &m_context;
    timer_queue<query_wait> m_waits;
};

} // namespace teaselward
