#pragma once

#include "core/agent_task_state.h"
#include "core/task_outcome.h"

#include <cstdint>

namespace teaselward
{

/** Record of one attempt of a task in the ledger. */
struct ledger_record {
    std::uint32_t index = 0; ///< Position of the task in its job.
    std::uint32_t attempt = 0;
    agent_task_state state = agent_task_state::notStarted;
    task_outcome outcome; ///< Set if the state is finished; for a tombstone the reason why it was not started.
};

} // namespace teaselward
