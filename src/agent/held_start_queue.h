#pragma once

#include "agent/held_start.h"

#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace teaselward
{

/** Starts that wait for a free slot, oldest first. There are only a few, so searches are linear. */
class held_start_queue
{
public:
    /** Chooses starts by their properties. */
    using filter = std::function<bool(const held_start &)>;

    /**
     * Adds a start.
     * @param start the start
     */
    void add(held_start start);

    /**
     * Tells whether any held start is wanted.
     * @param isWanted tells the wanted ones
     */
    bool contains(const filter &isWanted) const;

    /**
     * Takes the oldest start that passes a filter.
     * @param isWanted the filter
     * @return the start, or nothing
     */
    std::optional<held_start> takeFirst(const filter &isWanted);

    /**
     * Finds the most urgent start that has a due time and passes a filter.
     * @param isWanted the filter
     * @param now present time
     * @return the start, or nothing; valid until the queue changes
     */
    const held_start *mostUrgent(const filter &isWanted, mono_time now) const;

    /**
     * Takes all starts that pass a filter.
     * @param isWanted the filter
     * @return the starts, oldest first
     */
    std::vector<held_start> takeAll(const filter &isWanted);

    /** @return instant at which the oldest start has been held for the longest time allowed */
    mono_time nextDue() const;

    /**
     * Takes the starts that have been held for the longest time allowed.
     * @param now present time
     */
    std::vector<held_start> takeExpired(mono_time now);

private:
    std::deque<held_start> m_starts;
};

} // namespace teaselward
