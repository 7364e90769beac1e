#pragma once

#include "base/clock.h"
#include "core/agent_id.h"
#include "core/start_order.h"

namespace teaselward
{

/** Sends a start to an agent. */
struct start_task {
    agent_id agent;
    start_order order;
    mono_time expiresAt = mono_time::max(); ///< The start must not be sent later; its caller may have left since it was decided.
};

} // namespace teaselward
