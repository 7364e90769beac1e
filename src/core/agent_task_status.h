#pragma once

#include "core/agent_task_state.h"
#include "core/task_id.h"
#include "core/task_outcome.h"

namespace teaselward
{

/** Status of a task as its agent reports it. */
struct agent_task_status {
    task_id id;
    agent_task_state state = agent_task_state::notStarted;
    task_outcome outcome; ///< Set if the state is finished.
};

} // namespace teaselward
