#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstdint>

namespace teaselward
{

/** Run that interference_monitor has not compared yet, because it or an earlier one has not ended. */
struct monitored_run {
    std::uint64_t job = 0;
    mono_time startedAt{};
    std::chrono::microseconds period{}; ///< Time from the start in which the neighbours count.
    std::uint32_t tasks = 0; ///< Tasks that were running at its start.
    float logRatio = 0; ///< Logarithm of run time over expected run time, once it has ended.
    std::uint8_t kind = 0; ///< Index of its kind.
    bool hasEnded = false;
    bool isUsable = false; ///< It ended by itself, so its run time is known.
};

} // namespace teaselward
