#pragma once

#include "base/backoff.h"
#include "base/clock.h"
#include "core/job_request.h"
#include "job/forward_kind.h"

#include <chrono>

namespace teaselward
{

/** Forwarded request whose answer is not known yet. */
struct forward_record {
    forward_kind kind = forward_kind::submission;
    job_request job; ///< Only its ticket is set for a query or a cancellation.
    std::chrono::milliseconds wait{}; ///< Of a query.
    mono_time deadline{}; ///< After it a home that is not reached is not tried again.
    backoff delays;
};

} // namespace teaselward
