#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace teaselward
{

/**
 * Tells a thread that sleeps between its turns to end. The sleep is measured by the steady clock: Abseil measures timed waits by the
 * time of day, so a clock that is set back would prolong them.
 */
class stop_signal
{
public:
    /** Ends all waits, now and later. Any thread may call it, also repeatedly. */
    void notify();

    /** @return whether notify() was called */
    bool isNotified() const;

    /**
     * Sleeps until notify() is called.
     * @param limit maximum time
     * @return whether notify() was called
     */
    bool waitFor(std::chrono::milliseconds limit);

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isNotified = false;
};

} // namespace teaselward
