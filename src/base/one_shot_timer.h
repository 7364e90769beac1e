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

/** Thread that calls a function once at a given instant. A later arm() replaces the instant. */
class one_shot_timer
{
public:
    /**
     * Starts the thread.
     * @param fire function that the thread calls when the instant has come; it may block
     */
    explicit one_shot_timer(std::function<void()> fire);
    ~one_shot_timer();

    one_shot_timer(const one_shot_timer &) = delete;
    one_shot_timer &operator=(const one_shot_timer &) = delete;

    /**
     * Sets the instant of the next call.
     * @param due the instant; the greatest one disarms the timer
     * @return false if the ring to the thread is full and the caller has to try again
     */
    bool arm(mono_time due);

    /** Ends the thread without a further call. */
    void stop();

private:
    std::unique_ptr<detail::one_shot_timer_private> d;
};

} // namespace teaselward
