#pragma once

#include "agent/matched_test.h"
#include "base/clock.h"

namespace teaselward
{

/** Pair of kinds that interference_monitor watches. */
struct monitored_pair {
    matched_test test;
    mono_time since{}; ///< When the pair came into force.
    mono_time confirmedAt{}; ///< Last time at which the evidence sufficed.
    bool isInForce = false;
};

} // namespace teaselward
