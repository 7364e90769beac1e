#pragma once

#include <chrono>
#include <cstddef>

namespace teaselward
{

/** Task of a simulated job. */
struct simulated_task {
    std::chrono::microseconds work{}; ///< Run time at an endpoint of normal speed.
    bool isDeadly = false; ///< Each of its runs crashes the endpoint.
    std::size_t starts = 0; ///< Number of runs that endpoints started.
    std::size_t lostRuns = 0; ///< Number of runs during which the endpoint crashed, for whatever reason.
    std::size_t crashes = 0; ///< Number of runs that crashed the endpoint.
    std::size_t startsAfterThreeLosses = 0; ///< Number of runs that were started after three had been lost.
};

} // namespace teaselward
