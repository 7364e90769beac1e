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
 * Starts that wait at the fake agent for a free slot, in the order of their arrival. A held start is not recorded as started. The
 * credit_allocator bounds their number to a few for each slot, so that a search is short.
 */
template<typename T>
class sim_held_starts
{
public:
    /**
     * Adds a start.
     * @param entry entry that ordered it
     * @param task the task
     * @param start what the agent needs to run or answer it
     * @param deadline instant at which it is to be answered as not started
     */
    void add(const entry_id &entry, const task_id &task, T start, mono_time deadline)
    {
        m_items.push_back({entry, task, std::move(start), deadline});
    }

    /** Takes the oldest start of an entry, as chosen by credit_allocator::takeHeld(). */
    std::optional<T> takeOldest(const entry_id &entry)
    {
        return take([&entry](const item &held) {
            return held.entry == entry;
        });
    }

    /** Takes the start of a task that is revoked or fenced. */
    std::optional<T> take(const task_id &task)
    {
        return take([&task](const item &held) {
            return held.task == task;
        });
    }

    /** Takes one start that has waited too long. */
    std::optional<T> takeExpired(mono_time now)
    {
        return take([now](const item &held) {
            return held.deadline <= now;
        });
    }

    /** @return instant at which the next start has waited too long, or the greatest one if there is none */
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
    /** One held start. */
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
