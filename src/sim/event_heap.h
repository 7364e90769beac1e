#pragma once

#include "base/clock.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace teaselward
{

/** Event queue and virtual clock of a simulation. Events with the same time run in the order in which they were scheduled. */
class event_heap
{
public:
    /**
     * Schedules an event.
     * @param when time of the event; a time in the past means now
     * @param action function to run
     */
    void schedule(mono_time when, std::function<void()> action);

    /**
     * Runs all events up to a point in time and advances the clock to it.
     * @param until time of the last events to run; later events stay in the queue
     */
    void runUntil(mono_time until);

    /** @return current virtual time */
    mono_time now() const
    {
        return m_now;
    }

private:
    /** Scheduled event. */
    struct event {
        mono_time when{};
        std::uint64_t sequence = 0;
        std::function<void()> action;
    };

    static bool isLater(const event &left, const event &right);

    std::vector<event> m_events;
    std::uint64_t m_sequence = 0;
    mono_time m_now{};
};

} // namespace teaselward
