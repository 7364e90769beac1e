#pragma once

#include "core/entry_id.h"

#include <cstdint>

namespace teaselward
{

/** An entry reports the number of its queued tasks. */
struct demand_received {
    entry_id from;
    std::uint32_t queued = 0;
};

} // namespace teaselward
