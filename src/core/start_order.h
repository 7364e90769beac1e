#pragma once

#include "core/task_id.h"
#include "core/task_resources.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace teaselward
{

/** Order of an entry to an agent to start one task. */
struct start_order {
    task_id id;
    std::string kind;
    std::string team;
    std::string payload;
    std::chrono::milliseconds timeLimit{}; ///< Time left until the deadline of the job.
    std::uint32_t demand = 0; ///< Tasks that the sending entry has queued.
    std::string key{}; ///< Identifier of the job that the caller chose; may be empty.
    task_resources needs{}; ///< Reserved at the endpoint while the task runs.
    std::chrono::milliseconds estimate{}; ///< Run time as the caller declares it; zero if unknown.
    bool restartable = false; ///< The run is stopped when its home is lost.
    bool highPriority = false; ///< May use what the endpoint keeps free of other kinds.
    std::optional<std::chrono::milliseconds> slack{}; ///< Wait after which the job misses its objective; negative once it has.
};

} // namespace teaselward
