#include "http/in_flight_counter.h"

#include <absl/time/time.h>

namespace teaselward
{

void in_flight_counter::begin()
{
    const absl::MutexLock lock(&m_mutex);
    ++m_count;
}

void in_flight_counter::end()
{
    const absl::MutexLock lock(&m_mutex);
    --m_count;
    m_changed.SignalAll();
}

void in_flight_counter::waitUntilZero(mono_time until)
{
    const absl::MutexLock lock(&m_mutex);
    while (m_count > 0) {
        const auto left = until - mono_clock::now();
        if (left <= left.zero()) {
            return;
        }
        m_changed.WaitWithTimeout(&m_mutex, absl::FromChrono(left));
    }
}

} // namespace teaselward
