#pragma once

#include "agent/event/agent_drain_started.h"
#include "agent/event/agent_timer_fired.h"
#include "agent/event/call_finished.h"
#include "agent/event/capacity_changed.h"
#include "agent/event/demand_received.h"
#include "agent/event/entry_confirmed.h"
#include "agent/event/entry_joined.h"
#include "agent/event/entry_lost.h"
#include "agent/event/evacuations_received.h"
#include "agent/event/fence_received.h"
#include "agent/event/revoke_received.h"
#include "agent/event/start_received.h"
#include "agent/event/stop_announced.h"
#include "agent/event/stop_received.h"
#include "agent/event/warm_up_announced.h"

#include <variant>

namespace teaselward
{

/**
 * Input of agent_core::handle(): a message from an entry, the end of a call to the endpoint, a change of its resources, a timer
 * or a request to stop.
 */
using agent_event = std::variant<start_received,
                                 stop_received,
                                 revoke_received,
                                 fence_received,
                                 demand_received,
                                 call_finished,
                                 entry_joined,
                                 entry_lost,
                                 entry_confirmed,
                                 evacuations_received,
                                 agent_timer_fired,
                                 agent_drain_started,
                                 capacity_changed,
                                 stop_announced,
                                 warm_up_announced>;

} // namespace teaselward
