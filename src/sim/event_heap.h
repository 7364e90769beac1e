#pragma once

#include "base/clock.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace teaselward
{

/** Virtual time: events run in the order of their time, and in the order of their addition at the same time. */
class event_heap
{
public:
    /**
     * Adds an event.
     * @param when its time; an earlier time than now is taken as now
     * @param action function to run
     */
    void schedule(mono_time when, std::function<void()> action);

    /**
     * Runs events in order.
     * @param until events after this time stay in the heap
     */
    void runUntil(mono_time until);

    /** @return present virtual time */
    mono_time now() const
    {
        return m_now;
    }

private:
    /** One event. */
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
