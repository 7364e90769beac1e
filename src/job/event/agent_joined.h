#pragma once

#include "core/agent_info.h"

#include <chrono>
#include <cstdint>

namespace teaselward
{

/** An agent registered, for the first time or again after a lost connection. */
struct agent_joined {
    agent_info info;
    std::uint32_t credits = 0; ///< Slot credits granted with the registration.
    std::chrono::milliseconds lease{}; ///< Time for which the session stays valid without a message.
};

} // namespace teaselward
