#pragma once

#include "base/clock.h"

#include <functional>
#include <memory>

namespace teaselward
{

namespace detail
{
class one_shot_timer_private;
}

/** Timer thread that calls a function once at a given time. A later arm() replaces the time. */
class one_shot_timer
{
public:
    /**
     * Starts the thread.
     * @param fire function that the thread calls at the given time; it may block
     */
    explicit one_shot_timer(std::function<void()> fire);
    ~one_shot_timer();

    one_shot_timer(const one_shot_timer &) = delete;
    one_shot_timer &operator=(const one_shot_timer &) = delete;

    /**
     * Sets the time of the next call.
     * @param due time of the call; mono_time::max() disarms the timer
     * @return false if the ring to the thread is full and the caller has to retry
     */
    bool arm(mono_time due);

    /** Makes the thread end without a further call; the destructor waits for the end. */
    void stop();

private:
    std::unique_ptr<detail::one_shot_timer_private> d;
};

} // namespace teaselward
