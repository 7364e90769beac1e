#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace teaselward
{

/** Simulated job. */
struct sim_job {
    std::uint64_t number = 0;
    std::size_t kind = 0;
    std::size_t team = 0;
    std::size_t entry = 0; ///< Entry to which the caller submits the job.
    mono_time sent{}; ///< Time at which the caller sends the submission.
    std::vector<std::chrono::microseconds> runTimes; ///< Run time of each task.
    std::size_t unfinished = 0; ///< Tasks without a successful result.
    bool failed = false;
};

} // namespace teaselward
