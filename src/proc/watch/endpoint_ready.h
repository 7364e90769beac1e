#pragma once

#include <cstdint>

namespace teaselward
{

/** The endpoint has no more runs that others started, and accepts starts. */
struct endpoint_ready {
    std::uint64_t instance = 0; ///< Number of the endpoint instance, counted by this process.
    std::uint64_t fencingToken = 0; ///< Token that the instance has accepted.
};

} // namespace teaselward
