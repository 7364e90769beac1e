#pragma once

#include "core/agent_id.h"

#include <cstdint>

namespace teaselward
{

/** Tells an agent how many tasks wait at this entry. */
struct send_demand {
    agent_id agent;
    std::uint32_t queued = 0;
};

} // namespace teaselward
