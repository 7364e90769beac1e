#pragma once

#include <cstdint>

namespace teaselward
{

/** Body of a request for tickets. */
struct tickets_request {
    std::uint64_t count = 1;
};

} // namespace teaselward
