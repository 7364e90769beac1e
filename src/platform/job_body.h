#pragma once

#include "platform/job_step.h"

#include <string>
#include <vector>

namespace teaselward
{

/** Body of a submission by a client. */
struct job_body {
    std::string spec; ///< Specification passed to each task.
    std::vector<job_step> steps;
    bool bestEffort = false; ///< The response is sent when the job has ended; without a response the client submits the job again.
    bool isRecurring = false; ///< The job is to run several times.
};

} // namespace teaselward
