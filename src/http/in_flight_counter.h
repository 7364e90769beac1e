#pragma once

#include "base/clock.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstddef>

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
    absl::Mutex m_mutex;
    absl::CondVar m_changed;
    std::size_t m_count ABSL_GUARDED_BY(m_mutex) = 0;
};

} // namespace teaselward
