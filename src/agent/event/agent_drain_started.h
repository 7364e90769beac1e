#pragma once

#include <chrono>

namespace teaselward
{

/** Requests a graceful stop of the agent. */
struct agent_drain_started {
    std::chrono::milliseconds bound{}; ///< The drain ends after this time even if tasks are still running.
};

} // namespace teaselward
