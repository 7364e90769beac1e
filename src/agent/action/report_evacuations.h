#pragma once

#include "core/entry_id.h"
#include "core/evacuation_state.h"

namespace teaselward
{

/** Sends the state of the evacuations to an entry that has sent a start into an evacuated failure domain. */
struct report_evacuations {
    entry_id entry;
    evacuation_state state;
};

} // namespace teaselward
