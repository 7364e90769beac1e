#pragma once

#include "base/clock.h"
#include "core/entry_id.h"
#include "core/task_id.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace teaselward
{

/**
 * Starts that wait at the simulated agent for a free slot, in arrival order. A held start is not recorded as started. Searches are
 * linear, because credit_allocator limits the number of held starts to a few per slot.
 */
template<typename T>
class sim_held_starts
{
public:
    /**
     * Adds a start.
     * @param entry entry that sent the start
     * @param task task to start
     * @param start data that the agent needs to run or answer the start
     * @param deadline time at which the start is answered as not started
     */
    void add(const entry_id &entry, const task_id &task, T start, mono_time deadline)
    {
        m_items.push_back({entry, task, std::move(start), deadline});
    }

    /** Removes and returns the oldest start of an entry; credit_allocator::takeHeld() chooses the entry. */
    std::optional<T> takeOldest(const entry_id &entry)
    {
        return take([&entry](const item &held) {
            return held.entry == entry;
        });
    }

    /** Removes and returns the start of a task that is revoked or fenced. */
    std::optional<T> take(const task_id &task)
    {
        return take([&task](const item &held) {
            return held.task == task;
        });
    }

    /** Removes and returns one start whose deadline has passed. */
    std::optional<T> takeExpired(mono_time now)
    {
        return take([now](const item &held) {
            return held.deadline <= now;
        });
    }

    /** @return earliest deadline of all held starts, or mono_time::max() if there are none */
    mono_time nextDue() const
    {
        mono_time next = mono_time::max();
        for (const item &held : m_items) {
            next = std::min(next, held.deadline);
        }
        return next;
    }

    /** @return number of held starts */
    std::size_t size() const
    {
        return m_items.size();
    }

private:
    /** Held start with its deadline. */
    struct item {
        entry_id entry;
        task_id task;
        T start;
        mono_time deadline{};
    };

    template<typename Predicate>
    std::optional<T> take(Predicate matches)
    {
        const auto found = std::find_if(m_items.begin(), m_items.end(), matches);
        if (found == m_items.end()) {
            return std::nullopt;
        }
        std::optional<T> start(std::move(found->start));
        m_items.erase(found);
        return start;
    }

    std::deque<item> m_items;
};

} // namespace teaselward
