#pragma once

#include "core/route.h"

#include <cstdint>
#include <string>
#include <vector>

namespace teaselward
{

/** One version of the routes. */
struct route_config {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::string text; ///< As it was published; handed to peers that cannot read it themselves.
};

} // namespace teaselward
