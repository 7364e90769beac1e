#pragma once

#include "core/task_id.h"

#include <chrono>
#include <cstdint>
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
};

} // namespace teaselward
