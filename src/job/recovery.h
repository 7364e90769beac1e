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

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace teaselward
{

/** Search for the results of a ticket whose home is gone. */
struct recovery {
    recovery(const ticket_id &recovered, const backoff &retries)
        : ticket(recovered)
        , delays(retries)
    {
    }

    /**
     * Takes the results that an agent holds.
     * @param held what the agent holds about the ticket
     * @return false if it holds the failure of a task
     */
    bool collect(std::vector<agent_task_status> held);

    ticket_id ticket;
    backoff delays;
    request_digest digest{};
    mono_time deadline{};
    timer_queue<ticket_id>::handle timer; ///< Next repetition, or the deadline.
    std::vector<request_id> waiters;
    absl::flat_hash_map<agent_id, fence_state> pending; ///< Agents that may still return something.
    std::vector<std::optional<std::string>> results; ///< One for each task.
    std::size_t missing = 0; ///< Tasks without a result.
};

} // namespace teaselward
