#include "share/kind_breaker.h"

#include <algorithm>

namespace teaselward
{

namespace
{

using std::chrono::milliseconds;

constexpr std::uint32_t FailureCount = 32; // A single failing endpoint is excluded after four tasks, well before this.
constexpr milliseconds FailureSpan(500); // Failures of a single burst do not open the breaker.
constexpr milliseconds FirstInterval(500);
constexpr milliseconds LongestInterval(10000);

} // namespace

void kind_breaker::record(bool failed, mono_time now)
{
    if (!failed) {
        m_failures = 0;
        m_failing = false;
        return;
    }
    if (m_failures == 0) {
        m_firstFailure = now;
    }
    ++m_failures;
    if (!m_failing && m_failures >= FailureCount && now - m_firstFailure >= FailureSpan) {
        m_failing = true;
        m_interval = FirstInterval;
        m_nextProbe = now + m_interval;
    }
}

bool kind_breaker::admits(mono_time now)
{
    if (!m_failing) {
        return true;
    }
    if (now < m_nextProbe) {
        return false;
    }
    m_interval = std::min(m_interval * 2, LongestInterval);
    m_nextProbe = now + m_interval;
    return true;
}

milliseconds kind_breaker::retryAfter(mono_time now) const
{
    return m_failing && now < m_nextProbe ? std::chrono::ceil<milliseconds>(m_nextProbe - now) : milliseconds::zero();
}

} // namespace teaselward
