#pragma once

#include "core/agent_id.h"
#include "core/job_answer.h"
#include "core/request_id.h"
#include "job/entry_action.h"

#include <functional>

namespace teaselward
{

/** Connects an entry_node with the sessions and callers of the simulation. */
struct entry_node_links {
    std::function<bool(const entry_action &action)> send; ///< Sends an action to its agent; returns false if there is no session.
    std::function<void(const request_id &request, const job_answer &answer)> reply; ///< Answers a caller.
};

} // namespace teaselward
