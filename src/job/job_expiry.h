#pragma once

#include "base/clock.h"

#include <cstdint>

namespace teaselward
{

/** Time at which a kept answer is dropped. */
struct job_expiry {
    mono_time due{};
    std::uint64_t sequence = 0;
};

} // namespace teaselward
