#pragma once

#include "base/backoff.h"
#include "base/clock.h"
#include "core/job_request.h"
#include "job/forward_kind.h"

#include <chrono>

namespace teaselward
{

/** Forwarded request that is not answered yet. */
struct forward_record {
    forward_kind kind = forward_kind::submission;
    job_request job; ///< For a query or a cancellation only the ticket is set.
    std::chrono::milliseconds wait{}; ///< Longest time that a query waits for the final answer.
    mono_time deadline{}; ///< Time after which an unreachable home is not retried.
    backoff delays;
};

} // namespace teaselward
