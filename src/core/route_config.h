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
    std::string text; ///< Published form, passed on to peers that cannot read the store.
};

} // namespace teaselward
