#pragma once

#include "core/agent_id.h"

namespace teaselward
{

/** An agent is shutting down and accepts no new work. */
struct agent_leaving {
    agent_id agent;
};

} // namespace teaselward
