#pragma once

#include "core/reason.h"
#include "core/task_verdict.h"

#include <chrono>
#include <string>

namespace teaselward
{

/** Outcome of one task at one agent. */
struct task_outcome {
    task_verdict verdict = task_verdict::unknown;
    reason why = reason::none;
    std::string body; ///< Result if the task succeeded, otherwise a text for operators.
    std::chrono::microseconds runTime{}; ///< Measured by the agent.
    bool endpointCrashed = false; ///< The run was lost because its endpoint crashed.
};

} // namespace teaselward
