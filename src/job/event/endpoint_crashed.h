#pragma once

#include "core/agent_id.h"
#include "core/crash_suspect.h"

#include <vector>

namespace teaselward
{

/** The endpoint of an agent has crashed. The agent accepts no more tasks. */
struct endpoint_crashed {
    agent_id agent;
    std::vector<crash_suspect> suspects; ///< Kinds whose tasks were running.
};

} // namespace teaselward
