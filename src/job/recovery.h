#pragma once

#include "base/backoff.h"
#include "base/clock.h"
#include "core/agent_id.h"
#include "core/agent_task_status.h"
#include "core/request_id.h"
#include "core/ticket_id.h"
#include "job/fence_state.h"
#include "job/request_digest.h"
#include "job/timer_queue.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace teaselward
{

/** Collects the results of a ticket whose home entry is gone. */
struct recovery {
    recovery(const ticket_id &recovered, const backoff &retries)
        : ticket(recovered)
        , delays(retries)
    {
    }

    /**
     * Adds the results held by an agent.
     * @param held the state of the tasks of the ticket at the agent
     * @return false if one of the tasks failed
     */
    bool collect(std::vector<agent_task_status> held);

    ticket_id ticket;
    backoff delays; ///< Delays between repetitions of the fences.
    request_digest digest{}; ///< Digest of the submission.
    mono_time deadline{}; ///< Time at which the recovery fails.
    timer_queue<ticket_id>::handle timer; ///< Next repetition of the fences, or the deadline.
    std::vector<request_id> waiters; ///< Requests to answer when the recovery ends.
    std::map<agent_id, fence_state> pending; ///< Agents that may still return results.
    std::vector<std::optional<std::string>> results; ///< Result of each task.
    std::size_t missing = 0; ///< Tasks without a result.
};

} // namespace teaselward
