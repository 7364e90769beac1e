#pragma once

#include "core/job_request.h"
#include "core/request_id.h"

namespace teaselward
{

/** A caller submits a job that only its own key identifies. The entry that receives it becomes its home. */
struct keyed_job_submitted {
    request_id request;
    job_request job; ///< Its ticket is issued by the entry.
};

} // namespace teaselward
