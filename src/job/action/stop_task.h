#pragma once

#include "core/agent_id.h"
#include "core/task_id.h"

namespace teaselward
{

/** Stops the run of a restartable task whose result is no longer needed. */
struct stop_task {
    agent_id agent;
    task_id id;
};

} // namespace teaselward
