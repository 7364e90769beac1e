#pragma once

#include "base/clock.h"
#include "core/task_outcome.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace teaselward
{

/**
 * Circuit breaker of one endpoint: opens after tasks of several jobs in a row have failed or stood still, and then lets one task
 * through from time to time until one succeeds. The agent sees the outcomes of all entries, so an endpoint that hangs costs a few tasks
 * and not a few for each entry. Answers endpoints that fail or hang while their health check is good.
 */
class endpoint_breaker
{
public:
    /**
     * Records the end of a task.
     * @param job name of its job
     * @param outcome its outcome
     * @param now present time
     * @return true if the breaker has opened now
     */
    bool record(const std::string &job, const task_outcome &outcome, mono_time now);

    /**
     * Tells whether a task may start.
     * @param now present time
     */
    bool admits(mono_time now) const;

    /**
     * Counts a task as started. While the breaker is open the next one has to wait.
     * @param now present time
     */
    void started(mono_time now);

    /** @return whether only single tasks are let through */
    bool isOpen() const;

private:
    std::uint32_t m_badJobs = 0; ///< Jobs in a row with a bad end.
    std::string m_lastBadJob;
    bool m_open = false;
    std::chrono::milliseconds m_interval{};
    mono_time m_nextTrial{};
};

} // namespace teaselward
