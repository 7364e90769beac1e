#pragma once

#include "base/bounded_ring.h"

#include <chrono>
#include <optional>
#include <variant>
#include <vector>

namespace teaselward
{

/** Pops events from a ring and keeps them in order, so that a test can also check their order and the absence of events. */
template<typename V>
class event_reader
{
public:
    /** Generous for a loaded machine; a passing test never waits this long. */
    static constexpr std::chrono::seconds Timeout{20};

    explicit event_reader(bounded_ring<V> &ring)
        : m_ring(ring)
    {
    }

    /** @return next event of the given type, or nothing if it does not come in time; events before it are kept */
    template<typename T>
    std::optional<T> waitFor()
    {
        const mono_time until = mono_clock::now() + Timeout;
        while (auto event = m_ring.popUntil(until)) {
            m_seen.push_back(*event);
            if (const T *match = std::get_if<T>(&m_seen.back())) {
                return *match;
            }
        }
        return std::nullopt;
    }

    /** Keeps the events that come within the given duration. */
    void collect(std::chrono::milliseconds duration)
    {
        const mono_time until = mono_clock::now() + duration;
        while (auto event = m_ring.popUntil(until)) {
            m_seen.push_back(std::move(*event));
        }
    }

    /** @return number of kept events of the given type */
    template<typename T>
    std::size_t count() const
    {
        std::size_t found = 0;
        for (const V &event : m_seen) {
            found += std::holds_alternative<T>(event) ? 1 : 0;
        }
        return found;
    }

    /** @return all events so far */
    const std::vector<V> &seen() const
    {
        return m_seen;
    }

private:
    bounded_ring<V> &m_ring;
    std::vector<V> m_seen;
};

} // namespace teaselward
