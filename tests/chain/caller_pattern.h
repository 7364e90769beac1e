#pragma once

#include <chrono>
#include <cstddef>

namespace teaselward
{

/** Behaviour of the callers of a chain_simulation. */
struct caller_pattern {
    std::chrono::microseconds minInterval = std::chrono::milliseconds(40); ///< Least time between two jobs.
    std::chrono::microseconds maxInterval = std::chrono::milliseconds(240); ///< Longest time between two jobs.
    std::chrono::microseconds minWork = std::chrono::seconds(1); ///< Least run time of a long task.
    std::chrono::microseconds maxWork = std::chrono::seconds(4); ///< Longest run time of a long task.
    std::chrono::milliseconds limit = std::chrono::seconds(6); ///< Time limit of a job.
    double longTasks = 0.25; ///< Share of the jobs with long tasks; they can outlast the time until a job is submitted again.
    std::size_t maxTasks = 4; ///< Most tasks of a job.
    bool submitsAgain = true; ///< Submits a job again after a broken connection or a refusal. If not, only its home starts a task again.
};

} // namespace teaselward
