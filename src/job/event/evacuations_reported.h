#pragma once

#include "core/agent_id.h"
#include "core/entry_id.h"
#include "core/evacuation_source.h"
#include "core/evacuation_state.h"

namespace teaselward
{

/** The state of the evacuations was read from the store or received from another process. */
struct evacuations_reported {
    evacuation_state state;
    evacuation_source source = evacuation_source::store;
    entry_id peer{}; ///< Sender, if the source is an entry.
    agent_id agent{}; ///< Sender, if the source is an agent.
};

} // namespace teaselward
