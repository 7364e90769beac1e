#pragma once

#include "core/agent_info.h"
#include "core/task_resources.h"

#include <chrono>
#include <cstdint>

namespace teaselward
{

/** What the decisions of an agent are told at start. */
struct agent_core_settings {
    agent_info self;
    task_resources capacity{}; ///< Resources of the endpoint; all zero if it counts slots only.
    std::chrono::milliseconds sessionLease{}; ///< A decision thread paused for longer gives up its sessions; zero to ignore pauses.
    std::chrono::milliseconds retention = std::chrono::minutes(15); ///< Time that a record is kept; longer than the lifetime of a ticket and the longest job.
    std::uint32_t maxRecords = 96 * 1024; ///< Starts and tombstones kept; further starts are refused.
    std::uint64_t maxResultBytes = 8ULL * 1024 * 1024; ///< Size of all kept results; further starts are refused.
};

} // namespace teaselward
