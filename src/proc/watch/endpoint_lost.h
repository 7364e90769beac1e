#pragma once

#include <cstdint>

namespace teaselward
{

/** An instance of the endpoint has ended or can no longer be reached. */
struct endpoint_lost {
    std::uint64_t instance = 0; ///< Number of the endpoint instance, counted by this process.
};

} // namespace teaselward
