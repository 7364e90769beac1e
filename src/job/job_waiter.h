#pragma once

#include "base/clock.h"
#include "core/request_id.h"
#include "core/ticket_id.h"
#include "job/query_wait.h"
#include "job/timer_queue.h"

#include <optional>

namespace teaselward
{

/** Request that waits for the answer of a running job. */
struct job_waiter {
    request_id request;
    ticket_id ticket; ///< Ticket named by the request; differs from that of the job if it was joined by client key.
    std::optional<timer_queue<query_wait>::handle> timer; ///< Set if the wait has a time limit.
    mono_time seenAt{}; ///< Time at which the caller was seen connected when the request arrived; unset if that is not known.
};

} // namespace teaselward
