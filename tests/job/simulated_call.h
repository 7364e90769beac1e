#pragma once

#include "core/agent_id.h"
#include "core/task_id.h"

#include <cstddef>

namespace teaselward
{

/** Start that an agent has not answered yet. */
struct simulated_call {
    std::size_t entry = 0;
    agent_id agent;
    task_id id;
};

} // namespace teaselward
