#pragma once

#include "base/clock.h"
#include "core/task_outcome.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace teaselward
{

/**
 * Circuit breaker of one endpoint. Opens after tasks of several consecutive jobs have failed or stalled, then admits one trial
 * task per interval until one succeeds. Protects against endpoints that fail or hang although their health check succeeds. The
 * agent sees the outcomes of all entries, so such an endpoint costs a few tasks in total instead of a few per entry.
 */
class endpoint_breaker
{
public:
    /**
     * Records the end of a task.
     * @param job identifier of its job
     * @param outcome its outcome
     * @param now current time
     * @return true if this outcome opened the breaker
     */
    bool record(const std::string &job, const task_outcome &outcome, mono_time now);

    /**
     * Checks whether a task may start.
     * @param now current time
     */
    bool admits(mono_time now) const;

    /**
     * Records the start of a task. While the breaker is open, this delays the next trial.
     * @param now current time
     */
    void started(mono_time now);

    /** @return whether only trial tasks are admitted */
    bool isOpen() const;

private:
    std::uint32_t m_failedJobs = 0; ///< Consecutive jobs with a failed or stalled task.
    std::string m_lastFailedJob;
    bool m_open = false;
    std::chrono::milliseconds m_trialInterval{};
    mono_time m_nextTrial{};
};

} // namespace teaselward
