#pragma once

#include "core/agent_id.h"

#include <cstdint>

namespace teaselward
{

/** An agent changed the credits of this entry. */
struct credits_granted {
    agent_id agent;
    std::int32_t delta = 0; ///< Negative if the agent takes credits back.
};

} // namespace teaselward
