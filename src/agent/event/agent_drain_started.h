#pragma once

#include <chrono>

namespace teaselward
{

/** The agent is to stop gracefully. */
struct agent_drain_started {
    std::chrono::milliseconds bound{}; ///< Longest time until the process stops.
};

} // namespace teaselward
