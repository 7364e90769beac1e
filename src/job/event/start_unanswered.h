#pragma once

#include "core/agent_id.h"
#include "core/task_id.h"

namespace teaselward
{

/** The call that sent a start ended without an answer; the agent may have received it. */
struct start_unanswered {
    agent_id agent;
    task_id id;
};

} // namespace teaselward
