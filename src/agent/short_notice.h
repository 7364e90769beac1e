#pragma once

#include "agent/noticed_run.h"
#include "base/clock.h"
#include "core/task_id.h"

#include <chrono>
#include <vector>

namespace teaselward
{

/**
 * Decides which runs of an endpoint that will stop are stopped at once and started elsewhere. A run stopped without need loses its age,
 * a run lost at the end loses its age and the remaining time. In both cases the task takes its expected time of another endpoint, which
 * counts fully: endpoints leave in the middle of bursts, and a processor elsewhere is then taken from another job, while the one here would
 * be idle. So a run is stopped if
 *
 *     age + MoveCost + expected <= P(it does not end in time) * (age + remaining + MoveCost + expected).
 *
 * The run time is taken as log-normally distributed around the expected one, given that the run has not ended yet.
 */
class short_notice
{
public:
    /**
     * Delay that another start of a task costs besides its lost run: 10 ms for the stop, 1 ms for two messages, and about 20 ms in the
     * queue of the entry while the endpoints are busy.
     */
    static constexpr std::chrono::milliseconds MoveCost{30};

    /** Spread of the logarithm of run time over declared run time. Run times are declared with an error of a factor of e^0.4. */
    static constexpr double Spread = 0.4;

    /**
     * Computes how likely a run continues beyond the remaining time. Without an expected run time the probability that a run of age t
     * exceeds t + r is taken as t / (t + r), as for run times of which nothing is known.
     * @param run the run
     * @param remaining time until the endpoint stops
     * @param now current time
     * @return probability from 0 to 1
     */
    static double missProbability(const noticed_run &run, std::chrono::microseconds remaining, mono_time now);

    /**
     * Checks whether stopping a run now costs less than letting it go on.
     * @param run the run
     * @param remaining time until the endpoint stops; zero or less if it may stop at any moment
     * @param now current time
     * @return whether to stop it; false for a run whose entry may not start the task again
     */
    static bool isStopCheaper(const noticed_run &run, std::chrono::microseconds remaining, mono_time now);

    /**
     * Selects the runs to stop.
     * @param runs runs in progress
     * @param remaining time until the endpoint stops
     * @param now current time
     * @return their tasks, sorted
     */
    static std::vector<task_id> runsToStop(const std::vector<noticed_run> &runs, std::chrono::microseconds remaining, mono_time now);
};

} // namespace teaselward
