#pragma once

#include "core/entry_id.h"
#include "core/evacuation_state.h"

namespace teaselward
{

/** An entry has sent the state of the evacuations. */
struct evacuations_received {
    entry_id from;
    evacuation_state state;
};

} // namespace teaselward
