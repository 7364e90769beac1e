#pragma once

#include "core/request_id.h"
#include "core/ticket_id.h"
#include "job/query_wait.h"
#include "job/timer_queue.h"

#include <optional>

namespace teaselward
{

/** Request that gets the answer of a running job. */
struct job_waiter {
    request_id request;
    ticket_id ticket; ///< Ticket that the request named; differs from the one of the job if a client key joined them.
    std::optional<timer_queue<query_wait>::handle> timer; ///< Set if the request waits for a limited time.
};

} // namespace teaselward
