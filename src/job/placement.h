#pragma once

#include "base/backoff.h"
#include "core/agent_id.h"
#include "core/task_id.h"
#include "job/placement_state.h"
#include "job/timer_queue.h"
#include "share/queued_task.h"

#include <chrono>
#include <optional>

namespace teaselward
{

/**
 * Start that was sent to an agent and whose outcome is not known yet. It is kept even if the job fails in the meantime, since the
 * slot at the agent may still be in use.
 */
struct placement {
    queued_task task;
    agent_id agent;
    std::chrono::milliseconds declared{}; ///< Run time that the caller declared; zero if none.
    placement_state state = placement_state::sent;
    std::optional<mono_time> lostAt; ///< Time at which the connection to the agent was lost; reset when it registers again.
    std::optional<backoff> delays; ///< Delays between revocations; set once the start is ambiguous.
    std::optional<timer_queue<task_id>::handle> timer; ///< Timer of the next revocation.
};

} // namespace teaselward
