#pragma once

#include "core/task_resources.h"

#include <chrono>
#include <cstdint>

namespace teaselward
{

/** Step of a job as a client submits it. */
struct job_step {
    std::uint32_t tasks = 0;
    task_resources needs; ///< Resources of each task.
    std::chrono::milliseconds estimate{}; ///< Estimated run time of a task.
    bool isSupported = true; ///< The step has no option that is not supported, such as a label, a rack or a gang.
};

} // namespace teaselward
