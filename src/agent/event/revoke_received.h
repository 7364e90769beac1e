#pragma once

#include "core/call_id.h"
#include "core/entry_id.h"
#include "core/task_id.h"

namespace teaselward
{

/** An entry revokes a start whose state it does not know. */
struct revoke_received {
    call_id call;
    entry_id from;
    task_id id;
};

} // namespace teaselward
