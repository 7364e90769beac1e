#pragma once

#include "core/job_request.h"
#include "core/request_id.h"

namespace teaselward
{

/** Forwards a submission to its home entry. */
struct forward_job {
    request_id request;
    job_request job; ///< Its ticket names the home entry.
};

} // namespace teaselward
