#pragma once

#include "base/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace teaselward::testing
{

/** Virtual time with the functions that are due. Functions of one instant run in the order in which they were added. */
class event_queue
{
public:
    /** @return present virtual time */
    mono_time now() const
    {
        return m_now;
    }

    /**
     * Adds a function.
     * @param due instant of the call; an instant in the past means now
     * @param call the function
     */
    void schedule(mono_time due, std::function<void()> call)
    {
        m_calls.emplace(std::pair(std::max(due, m_now), ++m_sequence), std::move(call));
    }

    /**
     * Advances the time and calls what becomes due.
     * @param end the time afterwards
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
    // A monotonic clock never starts at zero; an offset finds code that takes the zero instant for "unset".
    mono_time m_now{std::chrono::hours(1)};
    std::uint64_t m_sequence = 0;
    std::map<std::pair<mono_time, std::uint64_t>, std::function<void()>> m_calls;
};

} // namespace teaselward::testing
