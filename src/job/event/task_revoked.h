#pragma once

#include "core/agent_id.h"
#include "core/held_task.h"

namespace teaselward
{

/** An agent answered a revocation. */
struct task_revoked {
    agent_id agent;
    held_task held;
};

} // namespace teaselward
