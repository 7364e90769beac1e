#pragma once

#include "core/agent_id.h"
#include "core/start_order.h"

namespace teaselward
{

/** Sends a start to an agent. */
struct start_task {
    agent_id agent;
    start_order order;
};

} // namespace teaselward
