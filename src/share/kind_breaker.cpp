#include "share/kind_breaker.h"

#include <algorithm>

namespace teaselward
{

namespace
{

using std::chrono::milliseconds;

constexpr std::uint32_t FailuresToOpen = 32; // A single failing endpoint is excluded after four tasks, well before this.
constexpr milliseconds MinFailureDuration(500); // Failures of a single burst do not open the breaker.
constexpr milliseconds MinTrialInterval(500);
constexpr milliseconds MaxTrialInterval(10000);

} // namespace

void kind_breaker::record(bool failed, mono_time now)
{
    if (!failed) {
        m_failures = 0;
        m_open = false;
        return;
    }
    if (m_failures == 0) {
        m_firstFailure = now;
    }
    ++m_failures;
    if (!m_open && m_failures >= FailuresToOpen && now - m_firstFailure >= MinFailureDuration) {
        m_open = true;
        m_trialInterval = MinTrialInterval;
        m_nextTrial = now + m_trialInterval;
    }
}

bool kind_breaker::admits(mono_time now)
{
    if (!m_open) {
        return true;
    }
    if (now < m_nextTrial) {
        return false;
    }
    m_trialInterval = std::min(m_trialInterval * 2, MaxTrialInterval);
    m_nextTrial = now + m_trialInterval;
    return true;
}

milliseconds kind_breaker::retryAfter(mono_time now) const
{
    return m_open && now < m_nextTrial ? std::chrono::ceil<milliseconds>(m_nextTrial - now) : milliseconds::zero();
}

} // namespace teaselward
