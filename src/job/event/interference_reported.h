#pragma once

#include "core/agent_id.h"
#include "core/kind_pair.h"

#include <vector>

namespace teaselward
{

/** An agent has reported which kinds slow each other at its endpoint. */
struct interference_reported {
    agent_id agent;
    std::vector<kind_pair> pairs; ///< All of them; they replace the former report of the agent.
};

} // namespace teaselward
