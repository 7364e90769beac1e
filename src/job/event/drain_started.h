#pragma once

#include <chrono>

namespace teaselward
{

/** The process begins a graceful shutdown. */
struct drain_started {
    std::chrono::milliseconds bound{}; ///< Time limit after which the process stops even if jobs are still running.
};

} // namespace teaselward
