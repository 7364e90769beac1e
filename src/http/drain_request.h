#pragma once

#include <cstdint>

namespace teaselward
{

/** Body of a drain request. */
struct drain_request {
    std::uint64_t boundMs = 0; ///< Zero for the bound of the settings.
};

} // namespace teaselward
