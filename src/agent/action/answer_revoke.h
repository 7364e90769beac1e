#pragma once

#include "core/agent_task_status.h"
#include "core/call_id.h"

namespace teaselward
{

/** Answers a revocation with the state of the task. */
struct answer_revoke {
    call_id call;
    agent_task_status held;
};

} // namespace teaselward
