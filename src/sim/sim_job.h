#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace teaselward
{

/** One simulated job. */
struct sim_job {
    std::uint64_t number = 0;
    std::size_t kind = 0;
    std::size_t team = 0;
    std::size_t entry = 0; ///< Entry that the caller submits to.
    mono_time sent{}; ///< Instant at which the caller sends the submission.
    std::vector<std::chrono::microseconds> runTimes; ///< One for each task.
    std::size_t unfinished = 0;
    bool failed = false;
};

} // namespace teaselward
