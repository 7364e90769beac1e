#pragma once

#include "chain/caller_pattern.h"

#include <chrono>

namespace teaselward
{

/** @return callers that never submit a job again, with few and long tasks of 0.9 to 4 s */
inline caller_pattern steadyCallers()
{
    using namespace std::chrono_literals;
    return {.minInterval = 200ms, .maxInterval = 600ms, .minWork = 900ms, .maxWork = 4s, .limit = 12s, .longTasks = 1, .maxTasks = 2, .submitsAgain = false};
}

} // namespace teaselward
