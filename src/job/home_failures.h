#pragma once

#include "base/clock.h"

#include <cstdint>

namespace teaselward
{

/** Consecutive forwards that failed to reach one home entry. */
struct home_failures {
    std::uint32_t count = 0;
    mono_time since{}; ///< Time of the first failure.
};

} // namespace teaselward
