#pragma once

#include "agent/action/call_endpoint.h"
#include "base/clock.h"

namespace teaselward
{

/** Call that is queued for the thread of the endpoint client. */
struct queued_call {
    call_endpoint call;
    mono_time deadline; ///< End of the call's time limit.
};

} // namespace teaselward
