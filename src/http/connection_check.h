#pragma once

#include "base/clock.h"

#include <cstdint>
#include <vector>

namespace teaselward
{

/** Result of a check of the connections of all waiting requests. */
struct connection_check {
    mono_time checkedAt; ///< Time before the first connection was checked.
    std::uint64_t lastRequest = 0; ///< All requests up to this number that still wait were checked; zero if none waits.
    std::vector<std::uint64_t> closed; ///< Requests whose callers have closed their connections; each is reported once.
};

} // namespace teaselward
