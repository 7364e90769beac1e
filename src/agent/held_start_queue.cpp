#include "agent/held_start_queue.h"

#include "agent/start_urgency.h"
#include "place/credit_allocator.h"

#include <algorithm>
#include <utility>

namespace teaselward
{

void held_start_queue::add(held_start start)
{
    m_starts.push_back(std::move(start));
}

bool held_start_queue::contains(const filter &matches) const
{
    return std::ranges::any_of(m_starts, matches);
}

std::optional<held_start> held_start_queue::takeFirst(const filter &matches)
{
    const auto found = std::ranges::find_if(m_starts, matches);
    if (found == m_starts.end()) {
        return std::nullopt;
    }
    std::optional<held_start> taken(std::move(*found));
    m_starts.erase(found);
    return taken;
}

const held_start *held_start_queue::mostUrgent(const filter &matches, mono_time now) const
{
    const held_start *found = nullptr;
    for (const held_start &start : m_starts) {
        if (start.order.slack && matches(start) && (found == nullptr || isMoreUrgent(start, *found, now))) {
            found = &start;
        }
    }
    return found;
}

std::vector<held_start> held_start_queue::takeAll(const filter &matches)
{
    std::vector<held_start> taken;
    while (auto start = takeFirst(matches)) {
        taken.push_back(std::move(*start));
    }
    return taken;
}

mono_time held_start_queue::nextDue() const
{
    return m_starts.empty() ? mono_time::max() : m_starts.front().heldSince + credit_allocator::MaxHoldTime;
}

std::vector<held_start> held_start_queue::takeExpired(mono_time now)
{
    return takeAll([now](const held_start &start) {
        return start.heldSince + credit_allocator::MaxHoldTime <= now;
    });
}

} // namespace teaselward
