#pragma once

#include "core/agent_id.h"
#include "core/task_id.h"
#include "core/task_outcome.h"

#include <cstdint>

namespace teaselward
{

/** An agent answered a start. */
struct task_finished {
    agent_id agent;
    task_id id;
    task_outcome outcome;
    std::int32_t credits = 0; ///< Credits returned with the outcome.
    double runTimeFactor = 0; ///< Run times at the endpoint over the expected ones; zero if unknown.
};

} // namespace teaselward
