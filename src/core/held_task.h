#pragma once

#include "core/held_state.h"
#include "core/task_id.h"
#include "core/task_outcome.h"

namespace teaselward
{

/** What an agent holds about a task. */
struct held_task {
    task_id id;
    held_state state = held_state::notStarted;
    task_outcome outcome; ///< Set if the state is finished.
};

} // namespace teaselward
