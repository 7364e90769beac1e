#include "member/retry_budget.h"

namespace teaselward
{

retry_budget::retry_budget(unsigned burst, std::chrono::milliseconds interval, mono_time now)
    : m_burst(burst)
    , m_interval(interval)
    , m_available(burst)
    , m_lastRefill(now)
{
}

bool retry_budget::take(mono_time now)
{
    const auto added = (now - m_lastRefill) / m_interval;
    if (added >= m_burst - m_available) {
        m_available = m_burst;
        m_lastRefill = now;
    } else {
        m_available += static_cast<unsigned>(added);
        m_lastRefill += added * m_interval;
    }
    if (m_available == 0) {
        return false;
    }
    --m_available;
    return true;
}

} // namespace teaselward
