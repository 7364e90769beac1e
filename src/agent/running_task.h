#pragma once

#include "agent/waiting_call.h"
#include "core/task_resources.h"

#include <string>
#include <vector>

namespace teaselward
{

/** Task that runs on the endpoint. */
struct running_task {
    std::vector<waiting_call> calls; ///< Who waits for the outcome; the first one ordered the start.
    std::string job; ///< Name that its caller chose; may be empty.
    task_resources needs;
    bool highPriority = false; ///< Counts for the reserve.
    bool restartable = false; ///< Stopped when its home is lost.
    bool isStopping = false;
};

} // namespace teaselward
