#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstdint>

namespace teaselward
{

/** Detects a kind whose recent tasks all failed, so that further jobs are refused before they run. */
class kind_breaker
{
public:
    /**
     * Records a task that ran.
     * @param failed whether the endpoint reported failure
     * @param now present time
     */
    void record(bool failed, mono_time now);

    /**
     * Tells whether a job may be admitted. While the kind fails, one job at growing intervals is let through.
     * @param now present time
     */
    bool admits(mono_time now);

    /** @return time until the next job is let through; zero if the kind does not fail */
    std::chrono::milliseconds retryAfter(mono_time now) const;

private:
    std::uint32_t m_failures = 0; ///< Since the last success.
    mono_time m_firstFailure{};
    bool m_failing = false;
    std::chrono::milliseconds m_interval{};
    mono_time m_nextProbe{};
};

} // namespace teaselward
