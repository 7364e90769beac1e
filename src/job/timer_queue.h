#pragma once

#include "base/clock.h"

#include <map>
#include <optional>
#include <utility>

namespace teaselward
{

/** Timers ordered by due time, each with a value that identifies what is due. */
template<typename Value>
class timer_queue
{
public:
    /** Identifies a timer until it is taken or cancelled. */
    using handle = typename std::multimap<mono_time, Value>::iterator;

    /**
     * Adds a timer.
     * @param due the due time
     * @param value what is due
     * @return handle for cancel()
     */
    handle schedule(mono_time due, Value value)
    {
        return m_timers.emplace(due, std::move(value));
    }

    /**
     * Removes a timer.
     * @param timer handle of a timer that was neither taken nor cancelled
     */
    void cancel(handle timer)
    {
        m_timers.erase(timer);
    }

    /**
     * Removes the earliest timer if it is due.
     * @param now current time
     * @return its value, or nothing if no timer is due
     */
    std::optional<Value> takeDue(mono_time now)
    {
        if (m_timers.empty() || m_timers.begin()->first > now) {
            return std::nullopt;
        }
        std::optional<Value> value = std::move(m_timers.begin()->second);
        m_timers.erase(m_timers.begin());
        return value;
    }

    /** @return the earliest due time, or mono_time::max() if there is none */
    mono_time nextDue() const
    {
        return m_timers.empty() ? mono_time::max() : m_timers.begin()->first;
    }

    /** @return value of the earliest timer; the queue must not be empty */
    const Value &nextValue() const
    {
        return m_timers.begin()->second;
    }

private:
    std::multimap<mono_time, Value> m_timers;
};

} // namespace teaselward
