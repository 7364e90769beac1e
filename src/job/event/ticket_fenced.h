#pragma once

#include "core/agent_id.h"
#include "core/agent_task_status.h"
#include "core/ticket_id.h"

#include <vector>

namespace teaselward
{

/** An agent answered a fence, or the call failed. */
struct ticket_fenced {
    agent_id agent;
    ticket_id ticket;
    bool answered = false; ///< False if the agent did not answer.
    std::vector<agent_task_status> held;
};

} // namespace teaselward
