#pragma once

#include "base/clock.h"
#include "core/job_answer.h"
#include "core/job_request.h"
#include "core/request_id.h"
#include "core/ticket.h"
#include "job/entry_context.h"
#include "job/forward_record.h"
#include "job/home_failures.h"
#include "job/ticket_recovery.h"
#include "job/timer_queue.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace teaselward
{

/** Forwards requests to the home entries of their tickets, and starts a recovery if a home is gone. */
class request_forwarder
{
public:
    /**
     * Creates a forwarder without pending requests.
     * @param context state shared by the parts of the entry
     * @param recoveries recoveries of tickets whose home is gone
     */
    request_forwarder(entry_context &context, ticket_recovery &recoveries);

    /**
     * Forwards a submission.
     * @param request the request to answer
     * @param job the submission
     */
    void forwardJob(const request_id &request, job_request job);

    /**
     * Forwards a query.
     * @param request the request to answer
     * @param source ticket of the job
     * @param wait longest time to wait for the final answer
     */
    void forwardQuery(const request_id &request, const ticket &source, std::chrono::milliseconds wait);

    /**
     * Forwards a cancellation.
     * @param request the request to answer
     * @param source ticket of the job
     */
    void forwardCancel(const request_id &request, const ticket &source);

    /**
     * Handles the end of a forwarded call.
     * @param request the request
     * @param reached whether the home entry answered
     * @param otherIncarnation whether the address of the home now belongs to another incarnation
     * @param answer answer of the home entry, if it was reached
     */
    void answered(const request_id &request, bool reached, bool otherIncarnation, job_answer answer);

    /** Retries the calls that are due. */
    void runTimers();

    /** @return time of the next timer */
    mono_time nextDue() const;

    /** @return number of unanswered requests */
    std::size_t size() const;

private:
    void forward(const request_id &request, forward_record record);
    void send(const request_id &request, const forward_record &record);
    void handleLostHome(const request_id &request, const forward_record &record);
    bool recordFailure(std::uint64_t incarnation);

    entry_context &m_context;
    ticket_recovery &m_recoveries;
    absl::flat_hash_map<request_id, forward_record> m_forwards;
    absl::flat_hash_map<std::uint64_t, home_failures> m_failures; ///< By incarnation of the home.
    timer_queue<request_id> m_retries;
};

} // namespace teaselward
