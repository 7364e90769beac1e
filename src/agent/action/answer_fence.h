#pragma once

#include "core/agent_task_status.h"
#include "core/call_id.h"

#include <vector>

namespace teaselward
{

/** Answers a fence request with all records of the ticket. */
struct answer_fence {
    call_id call;
    std::vector<agent_task_status> held;
};

} // namespace teaselward
