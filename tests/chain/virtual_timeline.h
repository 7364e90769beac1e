#pragma once

#include "base/clock.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <utility>

namespace teaselward
{

/** Virtual time with callbacks that run in the order of their times, and in the order of their registration at the same time. */
class virtual_timeline
{
public:
    /** @return the current virtual time */
    mono_time now() const
    {
        return m_now;
    }

    /**
     * Registers a callback.
     * @param when time at which it runs; at once if it has passed
     * @param callback the callback
     */
    void at(mono_time when, std::function<void()> callback)
    {
        m_due.emplace(std::max(when, m_now), std::move(callback));
    }

    /**
     * Registers a callback.
     * @param delay time after which it runs
     * @param callback the callback
     */
    void after(std::chrono::nanoseconds delay, std::function<void()> callback)
    {
        at(m_now + delay, std::move(callback));
    }

    /**
     * Runs all callbacks that are due until a time.
     * @param end the time
     */
    void runUntil(mono_time end)
    {
        while (!m_due.empty() && m_due.begin()->first <= end) {
            const auto next = m_due.extract(m_due.begin());
            m_now = next.key();
            next.mapped()();
        }
        m_now = end;
    }

private:
    mono_time m_now{std::chrono::hours(1)};
    std::multimap<mono_time, std::function<void()>> m_due;
};

} // namespace teaselward
