#pragma once

#include "base/backoff.h"
#include "core/agent_id.h"
#include "core/task_id.h"
#include "job/placement_state.h"
#include "job/timer_queue.h"
#include "share/queued_task.h"

#include <optional>

namespace teaselward
{

/** Start that an entry sent and whose outcome it does not know yet. It outlives a job that fails meanwhile. */
struct placement {
    queued_task task;
    agent_id agent;
    placement_state state = placement_state::sent;
    std::optional<mono_time> lostAt; ///< Loss of the connection to the agent, until it registers again.
    std::optional<backoff> delays; ///< Set once the outcome is asked for.
    std::optional<timer_queue<task_id>::handle> timer; ///< Next time that the outcome is asked for.
};

} // namespace teaselward
