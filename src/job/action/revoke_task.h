#pragma once

#include "core/agent_id.h"
#include "core/task_id.h"

#include <chrono>

namespace teaselward
{

/** Asks an agent to revoke a start whose outcome is unknown. */
struct revoke_task {
    agent_id agent;
    task_id id;
    std::chrono::milliseconds delay{}; ///< Delay before the call is sent.
};

} // namespace teaselward
