#pragma once

#include "job/crash_history.h"
#include "job/task_state.h"

#include <cstdint>
#include <string>

namespace teaselward
{

/** Task of a running job. */
struct task_record {
    task_state state = task_state::queued;
    std::uint32_t placements = 0; ///< Number of times that the task was sent to an agent.
    std::uint32_t evacuatedRefusals = 0; ///< Placements that were refused because the failure domain of the endpoint is evacuated.
    std::uint32_t failures = 0; ///< Number of failed runs.
    crash_history crashes{}; ///< Endpoints that crashed while they ran the task.
    std::string payload; ///< Released once the task cannot be placed again.
    std::string result; ///< Set if the task succeeded.
};

} // namespace teaselward
