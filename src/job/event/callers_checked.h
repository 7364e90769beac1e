#pragma once

#include "base/clock.h"

#include <cstdint>

namespace teaselward
{

/**
 * The connections of all waiting platform clients were checked. The requests whose clients have left were reported before, so all
 * others up to the last one had a connected client at the time of the check.
 */
struct callers_checked {
    mono_time checkedAt; ///< Time before the first connection was checked.
    std::uint64_t lastRequest = 0; ///< Highest number of a request that was checked.
};

} // namespace teaselward
