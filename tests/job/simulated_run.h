#pragma once

#include "base/clock.h"

#include <cstddef>
#include <cstdint>

namespace teaselward
{

/** Run in progress at a simulated endpoint. */
struct simulated_run {
    std::size_t endpoint = 0;
    std::uint64_t job = 0;
    std::uint32_t task = 0; ///< Position of the task in its job.
    std::uint32_t cpuMillis = 0; ///< Processors in use, in thousandths.
    mono_time start{};
};

} // namespace teaselward
