#pragma once

#include "base/clock.h"
#include "core/agent_info.h"
#include "core/task_resources.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace teaselward
{

/** Settings of agent_core. */
struct agent_core_settings {
    agent_info self;
    std::optional<task_resources> capacity; ///< Resources of the endpoint; empty if only its slots limit it.
    mono_time coldSince{}; ///< Time of the first heartbeat of a cold endpoint.
    mono_time warmAt{}; ///< Time from which a cold endpoint runs tasks at its full speed; the default for a warm one.
    std::chrono::milliseconds startWindow{1000}; ///< Time after the first notice of a stop during which short tasks may start.
    bool exactSlots = false; ///< Offer what fits beside the running tasks instead of the capacity over the mean size of a task.
    std::chrono::milliseconds sessionLease{}; ///< If the decision thread is paused for longer, all sessions are closed; zero disables the check.
    std::chrono::milliseconds retention = std::chrono::minutes(15); ///< Retention of records; longer than the lifetime of a ticket and the longest job.
    bool watchInterference = false; ///< Learn which kinds slow each other down at the endpoint, and report it.
    std::uint32_t maxRecords = 96 * 1024; ///< Maximum number of starts and tombstones; further starts are refused.
    std::uint64_t maxResultBytes = 8ULL * 1024 * 1024; ///< Maximum total size of stored results; further starts are refused.
};

} // namespace teaselward
