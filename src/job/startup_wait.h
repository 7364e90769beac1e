#pragma once

#include "base/clock.h"
#include "share/admission_result.h"

#include <chrono>
#include <optional>

namespace teaselward
{

/**
 * Decides how long jobs may wait at an entry that has just started. Answers the load after a loss of power or a restart: the callers
 * return at once, but the agents register over the next tenths of a second, so an entry that refuses what it cannot place now would
 * turn away callers whom it can serve in time.
 */
class startup_wait
{
public:
    /**
     * Creates the decision.
     * @param start time at which the entry started
     * @param length time after the start in which agents may still be missing; zero disables the wait
     */
    startup_wait(mono_time start, std::chrono::milliseconds length);

    /**
     * Checks whether a job may be admitted although no endpoint for it is known yet.
     * @param hasObjective whether its kind has an objective, which bounds the wait
     * @param now current time
     */
    bool admitsWithoutEndpoint(bool hasObjective, mono_time now) const;

    /**
     * Computes after which time a job that has not started is refused.
     * @param admitted result of the admission check of the job
     * @param now current time
     * @return while agents may be missing, the time until the job can no longer meet its objective, or until the wait ends if that comes
     * first; otherwise the usual time
     */
    std::optional<std::chrono::milliseconds> startTimeout(const admission_result &admitted, mono_time now) const;

private:
    mono_time m_end;
};

} // namespace teaselward
