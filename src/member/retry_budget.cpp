#include "member/retry_budget.h"

namespace teaselward
{

retry_budget::retry_budget(unsigned burst, std::chrono::milliseconds interval, mono_time now)
    : m_burst(burst)
    , m_interval(interval)
    , m_left(burst)
    , m_filled(now)
{
}

bool retry_budget::take(mono_time now)
{
    const auto added = (now - m_filled) / m_interval;
    if (added >= m_burst - m_left) {
        m_left = m_burst;
        m_filled = now;
    } else {
        m_left += static_cast<unsigned>(added);
        m_filled += added * m_interval;
    }
    if (m_left == 0) {
        return false;
    }
    --m_left;
    return true;
}

} // namespace teaselward
