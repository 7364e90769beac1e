#pragma once

#include "agent/waiting_call.h"
#include "core/task_resources.h"

#include <string>
#include <vector>

namespace teaselward
{

/** Task that is running on the endpoint. */
struct running_task {
    std::vector<waiting_call> calls; ///< Start requests that wait for the outcome; the first one caused the run.
    std::string job; ///< Job identifier chosen by the caller; may be empty.
    task_resources needs;
    bool highPriority = false; ///< Counted in the reserve for high-priority kinds.
    bool restartable = false; ///< Stopped when the connection to its home entry is lost.
    bool isStopping = false;
};

} // namespace teaselward
