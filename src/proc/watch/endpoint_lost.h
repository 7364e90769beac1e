#pragma once

#include <cstdint>

namespace teaselward
{

/** A life of the endpoint has ended. */
struct endpoint_lost {
    std::uint64_t instance = 0; ///< Number of the life within the process.
};

} // namespace teaselward
