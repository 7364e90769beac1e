#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstdint>

namespace teaselward
{

/** Circuit breaker of one kind: opens when its recent tasks have all failed, so that further jobs are refused before they run. */
class kind_breaker
{
public:
    /**
     * Records a task that ran.
     * @param failed whether the endpoint reported a failure
     * @param now current time
     */
    void record(bool failed, mono_time now);

    /**
     * Checks whether a job may be admitted. While the breaker is open, one trial job is admitted per interval; the intervals
     * grow.
     * @param now current time
     */
    bool admits(mono_time now);

    /** @return time until the next trial job is admitted; zero if the breaker is closed */
    std::chrono::milliseconds retryAfter(mono_time now) const;

private:
    std::uint32_t m_failures = 0; ///< Failures since the last success.
    mono_time m_firstFailure{};
    bool m_open = false;
    std::chrono::milliseconds m_trialInterval{};
    mono_time m_nextTrial{};
};

} // namespace teaselward
