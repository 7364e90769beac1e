#pragma once

#include "base/clock.h"

#include <cstdint>

namespace teaselward
{

/** Tells the adapter of the endpoint that a home entry had not given up its session at a time. */
struct confirm_home {
    std::uint64_t session = 0;
    mono_time at{};
};

} // namespace teaselward
