#pragma once

#include "core/agent_task_status.h"
#include "core/call_id.h"

namespace teaselward
{

/** Answers a revocation. */
struct answer_revoke {
    call_id call;
    agent_task_status held;
};

} // namespace teaselward
