#pragma once

#include "core/agent_id.h"

#include <cstdint>

namespace teaselward
{

/** Informs an agent of the number of tasks queued at this entry. */
struct send_demand {
    agent_id agent;
    std::uint32_t queued = 0;
};

} // namespace teaselward
