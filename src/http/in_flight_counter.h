#pragma once

#include "base/clock.h"

#include <condition_variable>
#include <cstddef>
#include <mutex>

namespace teaselward
{

/** Number of requests in progress. Another thread can wait until it is zero. */
class in_flight_counter
{
public:
    /** Counts the start of a request. */
    void begin();

    /** Counts the end of a request. */
    void end();

    /**
     * Waits until no request is in progress.
     * @param until end of the wait
     */
    void waitUntilZero(mono_time until);

private:
    std::mutex m_mutex;
    std::condition_variable m_changed; ///< Its timed waits are measured by the steady clock, unlike those of Abseil.
    std::size_t m_count = 0;
};

} // namespace teaselward
