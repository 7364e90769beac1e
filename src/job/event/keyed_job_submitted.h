#pragma once

#include "base/clock.h"
#include "core/job_request.h"
#include "core/request_id.h"

namespace teaselward
{

/** A caller submits a job that is identified by a client key instead of a ticket. The receiving entry becomes its home. */
struct keyed_job_submitted {
    request_id request;
    job_request job; ///< Its ticket is empty; the entry issues one.
    mono_time callerSeenAt{}; ///< Time at which the caller's connection was known to be open. Used for platform clients only.
};

} // namespace teaselward
