#pragma once

#include "base/clock.h"
#include "core/entry_id.h"

namespace teaselward
{

/** An entry has answered a call of the agent, so it had not given up the session when the call was sent. */
struct entry_confirmed {
    entry_id entry;
    mono_time at{}; ///< Time at which the call was sent.
};

} // namespace teaselward
