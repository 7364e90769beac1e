#pragma once

#include "base/clock.h"

#include <chrono>

namespace teaselward
{

/** Token bucket that limits the retries of a process across all peers. */
class retry_budget
{
public:
    /**
     * Creates a full bucket.
     * @param burst capacity of the bucket in retries
     * @param interval time after which one retry is added
     * @param now current time
     */
    retry_budget(unsigned burst, std::chrono::milliseconds interval, mono_time now);

    /**
     * Takes one retry from the bucket.
     * @param now current time
     * @return false if the bucket is empty; a retry is available after the interval at the latest
     */
    bool take(mono_time now);

private:
    unsigned m_burst;
    std::chrono::milliseconds m_interval;
    unsigned m_available;
    mono_time m_lastRefill;
};

} // namespace teaselward
