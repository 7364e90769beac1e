#include "http/in_flight_counter.h"

namespace teaselward
{

void in_flight_counter::begin()
{
    const std::lock_guard lock(m_mutex);
    ++m_count;
}

void in_flight_counter::end()
{
    const std::lock_guard lock(m_mutex);
    --m_count;
    m_changed.notify_all();
}

void in_flight_counter::waitUntilZero(mono_time until)
{
    std::unique_lock lock(m_mutex);
    while (m_count > 0) {
        const auto left = until - mono_clock::now();
        if (left <= left.zero()) {
            return;
        }
        m_changed.wait_for(lock, left);
    }
}

} // namespace teaselward
