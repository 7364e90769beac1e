#pragma once

#include "core/job_request.h"
#include "core/request_id.h"

namespace teaselward
{

/** A caller or a peer submits or resubmits a job. */
struct job_submitted {
    request_id request;
    job_request job;
};

} // namespace teaselward
