#pragma once

#include <cstdint>

namespace teaselward
{

/** Range of an unsigned number from outside, both ends included. */
struct number_range {
    std::uint64_t min = 0;
    std::uint64_t max = 0;
};

} // namespace teaselward
