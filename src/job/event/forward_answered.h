#pragma once

#include "core/job_answer.h"
#include "core/request_id.h"

namespace teaselward
{

/** The home entry answered a forwarded request, or the call failed. */
struct forward_answered {
    request_id request;
    bool reached = false; ///< False if the home entry gave no answer.
    bool otherIncarnation = false; ///< The address belongs to another incarnation now.
    job_answer answer;
};

} // namespace teaselward
