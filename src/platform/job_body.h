#pragma once

#include "platform/job_step.h"

#include <string>
#include <vector>

namespace teaselward
{

/** Body of a submission by a client. */
struct job_body {
    std::string spec; ///< What each task gets.
    std::vector<job_step> steps;
    bool bestEffort = false; ///< Answered when it has ended; the client sends it again if it gets no answer.
    bool isRecurring = false; ///< It is due several times.
};

} // namespace teaselward
