#pragma once

#include "base/clock.h"

#include <map>
#include <optional>
#include <utility>

namespace teaselward
{

/** Due times in order, each with a value that says what is due. */
template<typename Value>
class timer_queue
{
public:
    /** Names one due time until it is taken or cancelled. */
    using handle = typename std::multimap<mono_time, Value>::iterator;

    /**
     * Adds a due time.
     * @param due the instant
     * @param value what is due
     * @return handle for cancel()
     */
    handle schedule(mono_time due, Value value)
    {
        return m_timers.emplace(due, std::move(value));
    }

    /**
     * Removes a due time.
     * @param timer handle of a due time that was neither taken nor cancelled
     */
    void cancel(handle timer)
    {
        m_timers.erase(timer);
    }

    /**
     * Takes the earliest value that is due.
     * @param now present time
     * @return the value, or nothing if none is due
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

    /** @return the earliest due time, or the greatest instant if there is none */
    mono_time nextDue() const
    {
        return m_timers.empty() ? mono_time::max() : m_timers.begin()->first;
    }

    /** @return value of the earliest due time; there must be one */
    const Value &nextValue() const
    {
        return m_timers.begin()->second;
    }

private:
    std::multimap<mono_time, Value> m_timers;
};

} // namespace teaselward
