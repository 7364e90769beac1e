#pragma once

#include "core/agent_id.h"
#include "core/agent_task_status.h"

namespace teaselward
{

/** An agent answered a revocation. */
struct task_revoked {
    agent_id agent;
    agent_task_status held;
};

} // namespace teaselward
