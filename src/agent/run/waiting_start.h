#pragma once

#include "agent/run/start_run.h"
#include "base/clock.h"

namespace teaselward
{

/** Start that waits for a confirmed connection to its endpoint. */
struct waiting_start {
    start_run call;
    mono_time since{}; ///< Time from which it waits.
};

} // namespace teaselward
