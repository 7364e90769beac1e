#pragma once

#include "agent/held_start.h"

#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace teaselward
{

/** Held starts, oldest first. The queue is short, so searches are linear. */
class held_start_queue
{
public:
    /** Predicate that selects starts. */
    using filter = std::function<bool(const held_start &)>;

    /**
     * Adds a start.
     * @param start the start
     */
    void add(held_start start);

    /**
     * Checks whether any held start matches.
     * @param matches predicate
     */
    bool contains(const filter &matches) const;

    /**
     * Removes the oldest start that matches.
     * @param matches predicate
     * @return the start; empty if none matches
     */
    std::optional<held_start> takeFirst(const filter &matches);

    /**
     * Finds the most urgent start among those that have a due time and match.
     * @param matches predicate
     * @param now current time
     * @return the start, or null if none matches; valid until the queue changes
     */
    const held_start *mostUrgent(const filter &matches, mono_time now) const;

    /**
     * Removes all starts that match.
     * @param matches predicate
     * @return the starts, oldest first
     */
    std::vector<held_start> takeAll(const filter &matches);

    /** @return time at which the oldest start reaches the maximum hold time; the maximum if the queue is empty */
    mono_time nextDue() const;

    /**
     * Removes the starts that have reached the maximum hold time.
     * @param now current time
     */
    std::vector<held_start> takeExpired(mono_time now);

private:
    std::deque<held_start> m_starts;
};

} // namespace teaselward
