#pragma once

#include <cstdint>

namespace teaselward
{

/** Seeds that a test plays. */
struct seed_range {
    std::uint32_t first = 1;
    std::uint32_t last = 1;
};

} // namespace teaselward
