#pragma once

#include <cstdint>
#include <string>

namespace teaselward
{

/** Two kinds of which one slows the other when they run at the same endpoint. */
struct kind_pair {
    std::string slowed; ///< Kind whose runs take longer.
    std::string slowing; ///< Kind beside which they take longer.
    double factor = 1; ///< Run time beside the other kind over run time without it.
    std::uint32_t runs = 0; ///< Matched runs that the factor is based on.
};

} // namespace teaselward
