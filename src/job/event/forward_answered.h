#pragma once

#include "core/job_answer.h"
#include "core/request_id.h"

namespace teaselward
{

/** The home entry answered a forwarded request, or the call failed. */
struct forward_answered {
    request_id request;
    bool reached = false; ///< False if the home entry did not answer.
    bool otherIncarnation = false; ///< The address of the home entry now belongs to another incarnation.
    job_answer answer;
};

} // namespace teaselward
