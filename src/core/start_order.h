#pragma once

#include "core/task_id.h"
#include "core/task_resources.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace teaselward
{

/** Request of an entry to an agent to start one task. */
struct start_order {
    task_id id;
    std::string kind;
    std::string team;
    std::string payload;
    std::chrono::milliseconds timeLimit{}; ///< Time left until the deadline of the job.
    std::uint32_t demand = 0; ///< Number of tasks queued at the sending entry.
    std::string key{}; ///< Identifier of the job, chosen by the caller; may be empty.
    task_resources needs{}; ///< Reserved at the endpoint while the task runs.
    std::chrono::milliseconds estimate{}; ///< Run time as declared by the caller; zero if unknown.
    std::chrono::microseconds expectedRun{}; ///< Run time that the entry expects at a usual endpoint; zero if unknown.
    bool restartable = false; ///< The run is stopped when its home entry is lost.
    bool highPriority = false; ///< May use the capacity that the endpoint keeps free of other kinds.
    std::optional<std::chrono::milliseconds> slack{}; ///< Delay after which the job misses its objective; negative once it has missed it.
    std::optional<std::chrono::milliseconds> crashAge{}; ///< Age of the last run of the task that was lost with a crashed endpoint.
};

} // namespace teaselward
