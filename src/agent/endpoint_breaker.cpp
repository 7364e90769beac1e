#include "agent/endpoint_breaker.h"

#include <algorithm>

namespace teaselward
{

namespace
{

using std::chrono::milliseconds;

// Consecutive jobs. If one job in twenty always fails, three in a row occur once in 8,000 jobs, which costs one trial interval.
constexpr std::uint32_t FailedJobsToOpen = 3;
constexpr milliseconds MinTrialInterval(250); // A stalled task is stopped after 150 to 200 ms.
constexpr milliseconds MaxTrialInterval(1000); // A recovered endpoint gets work again within a second.

bool isFailure(const task_outcome &outcome)
{
    return outcome.verdict == task_verdict::failed || (outcome.verdict == task_verdict::interrupted && outcome.why == reason::runStalled);
}

} // namespace

bool endpoint_breaker::record(const std::string &job, const task_outcome &outcome, mono_time now)
{
    if (outcome.verdict == task_verdict::succeeded) {
        m_failedJobs = 0;
        m_lastFailedJob.clear();
        m_open = false;
        return false;
    }
    if (!isFailure(outcome)) {
        return false;
    }
    // All tasks of one job may fail because of the job itself, so consecutive ones count once.
    m_failedJobs += m_failedJobs == 0 || job != m_lastFailedJob ? 1 : 0;
    m_lastFailedJob = job;
    if (m_open || m_failedJobs < FailedJobsToOpen) {
        return false;
    }
    m_open = true;
    m_trialInterval = MinTrialInterval;
    m_nextTrial = now + m_trialInterval;
    return true;
}

bool endpoint_breaker::admits(mono_time now) const
{
    return !m_open || now >= m_nextTrial;
}

void endpoint_breaker::started(mono_time now)
{
    if (m_open) {
        m_trialInterval = std::min(m_trialInterval * 2, MaxTrialInterval);
        m_nextTrial = now + m_trialInterval;
    }
}

bool endpoint_breaker::isOpen() const
{
    return m_open;
}

} // namespace teaselward
