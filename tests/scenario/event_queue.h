#pragma once

#include "base/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace teaselward::testing
{

/** Virtual clock with the calls scheduled on it. Calls due at the same time run in the order in which they were scheduled. */
class event_queue
{
public:
    /** @return current virtual time */
    mono_time now() const
    {
        return m_now;
    }

    /**
     * Schedules a call.
     * @param due time of the call; a time in the past means now
     * @param call the function to call
     */
    void schedule(mono_time due, std::function<void()> call)
    {
        m_calls.emplace(std::pair(std::max(due, m_now), ++m_sequence), std::move(call));
    }

    /**
     * Advances the clock and makes the calls that become due.
     * @param end time to advance to
     */
    void runUntil(mono_time end)
    {
        while (!m_calls.empty() && m_calls.begin()->first.first <= end) {
            auto node = m_calls.extract(m_calls.begin());
            m_now = node.key().first;
            node.mapped()();
        }
        m_now = end;
    }

private:
    // Starts at 1 h, since a real monotonic clock does not start at zero. This exposes code that takes the zero time point for "unset".
    mono_time m_now{std::chrono::hours(1)};
    std::uint64_t m_sequence = 0;
    std::map<std::pair<mono_time, std::uint64_t>, std::function<void()>> m_calls;
};

} // namespace teaselward::testing
