#include "base/stop_signal.h"

namespace teaselward
{

void stop_signal::notify()
{
    const std::lock_guard lock(m_mutex);
    m_isNotified = true;
    m_changed.notify_all();
}

bool stop_signal::isNotified() const
{
    const std::lock_guard lock(m_mutex);
    return m_isNotified;
}

bool stop_signal::waitFor(std::chrono::milliseconds limit)
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, limit, [this] {
        return m_isNotified;
    });
}

} // namespace teaselward
