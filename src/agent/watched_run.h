#pragma once

#include <chrono>
#include <cstdint>

namespace teaselward
{

/** What interference_monitor needs to know at the end of a run. */
struct watched_run {
    std::uint8_t kind = 0; ///< Index of the kind.
    std::uint64_t number = 0; ///< Number of the run.
    std::chrono::microseconds expected{}; ///< Expected run time.
};

} // namespace teaselward
