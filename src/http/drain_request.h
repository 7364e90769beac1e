#pragma once

#include <cstdint>

namespace teaselward
{

/** Body of a drain request. */
struct drain_request {
    std::uint64_t boundMs = 0; ///< Time limit of the drain; zero for the one of the settings.
};

} // namespace teaselward
