#pragma once

#include "core/agent_id.h"

#include <cstdint>

namespace teaselward
{

/** An agent granted slot credits to this entry or recalled some. A credit allows the start of one task at the agent. */
struct credits_granted {
    agent_id agent;
    std::int32_t delta = 0; ///< Number of credits granted; negative if the agent recalls credits.
};

} // namespace teaselward
