#pragma once

#include "core/agent_id.h"
#include "core/ticket_id.h"

namespace teaselward
{

/** Asks an agent to start no more tasks of a ticket and to return the state of those that it holds. */
struct fence_ticket {
    agent_id agent;
    ticket_id ticket;
};

} // namespace teaselward
