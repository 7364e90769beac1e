#pragma once

#include "base/clock.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace teaselward
{

/**
 * Queue of fixed capacity between threads. Each thread of a process has one ring as its inbox.
 * Waiting threads block instead of spinning. Timed waits are measured by the steady clock: Abseil measures them by the time of day,
 * so a clock that is set back would prolong them.
 */
template<typename T>
class bounded_ring
{
public:
    /**
     * Creates an empty ring.
     * @param capacity maximum number of items
     */
    explicit bounded_ring(std::size_t capacity)
        : m_items(capacity)
    {
    }

    bounded_ring(const bounded_ring &) = delete;
    bounded_ring &operator=(const bounded_ring &) = delete;

    /**
     * Sets a function that is called after a push into the empty ring and on close, for consumers that wait in the event loop of a
     * library. Once woken, the consumer must pop until the ring is empty or continue by itself. Must be called before the first
     * push.
     * @param wake function that may be called from any thread
     */
    void setWaker(std::function<void()> wake)
    {
        m_wake = std::move(wake);
    }

    /**
     * Adds an item unless the ring is full or closed.
     * @param item moved from only if it was added
     * @return whether the item was added
     */
    bool tryPush(T &&item)
    {
        bool wasEmpty = false;
        {
            const std::lock_guard lock(m_mutex);
            if (m_closed || m_count == m_items.size()) {
                return false;
            }
            wasEmpty = m_count == 0;
            append(std::move(item));
        }
        if (wasEmpty) {
            wakeConsumer();
        }
        return true;
    }

    /**
     * Adds an item and blocks while the ring is full.
     * @param item the item
     * @return false if the ring is closed
     */
    bool push(T item)
    {
        bool wasEmpty = false;
        {
            std::unique_lock lock(m_mutex);
            while (!m_closed && m_count == m_items.size()) {
                m_notFull.wait(lock);
            }
            if (m_closed) {
                return false;
            }
            wasEmpty = m_count == 0;
            append(std::move(item));
        }
        if (wasEmpty) {
            wakeConsumer();
        }
        return true;
    }

    /**
     * Removes the oldest item; blocks while the ring is empty.
     * @return the item, or nothing once the ring is closed and empty
     */
    std::optional<T> pop()
    {
        std::unique_lock lock(m_mutex);
        while (m_count == 0 && !m_closed) {
            m_notEmpty.wait(lock);
        }
        return takeFirst();
    }

    /**
     * Removes the oldest item; blocks while the ring is empty, but not longer than until a given time.
     * @param until time at which the wait ends
     * @return the item, or nothing after a timeout or if the ring is closed and empty
     */
    std::optional<T> popUntil(mono_time until)
    {
        std::unique_lock lock(m_mutex);
        while (m_count == 0 && !m_closed) {
            const auto left = until - mono_clock::now();
            if (left <= left.zero()) {
                break;
            }
            m_notEmpty.wait_for(lock, std::min<mono_time::duration>(left, MaxWait));
        }
        return takeFirst();
    }

    /**
     * Removes the oldest item without waiting.
     * @return the item, or nothing if the ring is empty
     */
    std::optional<T> tryPop()
    {
        const std::lock_guard lock(m_mutex);
        return takeFirst();
    }

    /** Rejects further items and wakes all waiting threads. Items already in the ring can still be removed. */
    void close()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_closed = true;
            m_notEmpty.notify_all();
            m_notFull.notify_all();
        }
        wakeConsumer();
    }

    /** @return whether the ring is closed and empty, so that no more items will arrive */
    bool isFinished() const
    {
        const std::lock_guard lock(m_mutex);
        return m_closed && m_count == 0;
    }

private:
    // Keeps the sum of a wait and the current time in range.
    static constexpr std::chrono::hours MaxWait{1};

    // The caller holds the mutex.
    void append(T &&item)
    {
        m_items[(m_first + m_count) % m_items.size()] = std::move(item);
        ++m_count;
        m_notEmpty.notify_one();
    }

    // The caller holds the mutex.
    std::optional<T> takeFirst()
    {
        if (m_count == 0) {
            return std::nullopt;
        }
        std::optional<T> item(std::exchange(m_items[m_first], T{}));
        m_first = (m_first + 1) % m_items.size();
        --m_count;
        m_notFull.notify_one();
        return item;
    }

    void wakeConsumer() const
    {
        if (m_wake) {
            m_wake();
        }
    }

    mutable std::mutex m_mutex; ///< Guards the members below except the waker.
    std::condition_variable m_notEmpty;
    std::condition_variable m_notFull;
    std::vector<T> m_items;
    std::size_t m_first = 0;
    std::size_t m_count = 0;
    bool m_closed = false;
    std::function<void()> m_wake;
};

} // namespace teaselward
