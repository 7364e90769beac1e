#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace teaselward
{

/** Kind of jobs in the simulated workload. */
struct simulated_kind {
    std::string name;
    std::uint32_t priority = 0;
    double jobsPerSecond = 0;
    double tasks = 1; ///< Mean number of tasks of a job.
    std::chrono::milliseconds work{}; ///< Mean run time of a task at an endpoint of normal speed.
    std::chrono::milliseconds timeLimit{10000}; ///< Time after which the caller leaves.
    double longFraction = 0; ///< Fraction of the jobs whose tasks run seven times as long.
    double deadlyFraction = 0; ///< Fraction of the jobs one task of which crashes each endpoint that starts it.
};

} // namespace teaselward
