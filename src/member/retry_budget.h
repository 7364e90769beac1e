#pragma once

#include "base/clock.h"

#include <chrono>

namespace teaselward
{

/** Token bucket that bounds the retries of a process over all peers together. */
class retry_budget
{
public:
    /**
     * Creates a full bucket.
     * @param burst retries that may follow one another at once
     * @param interval time in which one retry is added
     * @param now present time
     */
    retry_budget(unsigned burst, std::chrono::milliseconds interval, mono_time now);

    /**
     * Uses one retry.
     * @param now present time
     * @return false if none is left; try again after the interval
     */
    bool take(mono_time now);

private:
    unsigned m_burst;
    std::chrono::milliseconds m_interval;
    unsigned m_left;
    mono_time m_filled;
};

} // namespace teaselward
