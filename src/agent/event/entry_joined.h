#pragma once

#include "base/clock.h"
#include "core/entry_info.h"

namespace teaselward
{

/** The agent registered with an entry. */
struct entry_joined {
    entry_info info;
    mono_time confirmedAt{}; ///< Time at which the registration was sent.
};

} // namespace teaselward
