#pragma once

#include <chrono>
#include <cstddef>

namespace teaselward
{

/** Crash of a simulated endpoint. */
struct simulated_crash {
    std::size_t endpoint = 0;
    std::chrono::microseconds at{}; ///< Virtual time since the start of the simulation.
    std::size_t lostRuns = 0; ///< Number of runs that were in progress.
};

} // namespace teaselward
