#include "sim/event_heap.h"

#include <algorithm>
#include <utility>

namespace teaselward
{

bool event_heap::isLater(const event &left, const event &right)
{
    return left.when != right.when ? left.when > right.when : left.sequence > right.sequence;
}

void event_heap::schedule(mono_time when, std::function<void()> action)
{
    m_events.push_back({std::max(when, m_now), m_sequence++, std::move(action)});
    std::push_heap(m_events.begin(), m_events.end(), &isLater);
}

void event_heap::runUntil(mono_time until)
{
    while (!m_events.empty() && m_events.front().when <= until) {
        std::pop_heap(m_events.begin(), m_events.end(), &isLater);
        event next = std::move(m_events.back());
        m_events.pop_back();
        m_now = next.when;
        next.action();
    }
    m_now = std::max(m_now, until);
}

} // namespace teaselward
