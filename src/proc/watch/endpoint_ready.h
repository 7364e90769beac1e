#pragma once

#include <cstdint>

namespace teaselward
{

/** The endpoint runs nothing of others and takes starts. */
struct endpoint_ready {
    std::uint64_t instance = 0; ///< Number of the life within the process.
};

} // namespace teaselward
