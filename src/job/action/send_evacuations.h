#pragma once

#include "core/agent_id.h"
#include "core/entry_id.h"
#include "core/evacuation_state.h"

#include <optional>

namespace teaselward
{

/** Sends the state of the evacuations to one process, or to all peers and agents and at the start of each later session. */
struct send_evacuations {
    evacuation_state state;
    std::optional<entry_id> peer{}; ///< Set if only this peer is to get the state.
    std::optional<agent_id> agent{}; ///< Set if only this agent is to get the state.
};

} // namespace teaselward
