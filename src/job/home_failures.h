#pragma once

#include "base/clock.h"

#include <cstdint>

namespace teaselward
{

/** Consecutive forwards that did not reach one home entry. */
struct home_failures {
    std::uint32_t count = 0;
    mono_time since{}; ///< Time of the first one.
};

} // namespace teaselward
