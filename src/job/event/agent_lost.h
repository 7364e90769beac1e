#pragma once

#include "core/agent_id.h"

namespace teaselward
{

/** The connection to an agent was lost; calls in progress will not be answered. */
struct agent_lost {
    agent_id agent;
};

} // namespace teaselward
