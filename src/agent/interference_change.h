#pragma once

#include "core/kind_pair.h"

#include <chrono>

namespace teaselward
{

/** Change of the pairs that interference_monitor holds in force. */
struct interference_change {
    kind_pair pair;
    bool isDetected = false; ///< Came into force; otherwise dropped.
    std::chrono::milliseconds inForceFor{}; ///< Time for which it was in force; zero if it came into force now.
};

} // namespace teaselward
