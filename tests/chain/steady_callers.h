#pragma once

#include "chain/caller_pattern.h"
#include "chain/site_size.h"

#include <chrono>

namespace teaselward
{

/**
 * @param site size of the site; the number of jobs grows with its agents
 * @return callers that never submit a job again, with few and long tasks of 0.9 to 4 s
 */
inline caller_pattern steadyCallers(const site_size &site)
{
    using namespace std::chrono_literals;
    const auto agents = static_cast<std::chrono::microseconds::rep>(site.agents);
    constexpr std::chrono::microseconds minInterval = 800ms; // Of the jobs of one agent.
    constexpr std::chrono::microseconds maxInterval = 2400ms;
    return {.minInterval = minInterval / agents,
            .maxInterval = maxInterval / agents,
            .minWork = 900ms,
            .maxWork = 4s,
            .limit = 12s,
            .longTasks = 1,
            .maxTasks = 2,
            .submitsAgain = false};
}

} // namespace teaselward
