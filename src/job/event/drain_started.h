#pragma once

#include <chrono>

namespace teaselward
{

/** The process is to stop gracefully. */
struct drain_started {
    std::chrono::milliseconds bound{}; ///< Longest time until the process stops.
};

} // namespace teaselward
