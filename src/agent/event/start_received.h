#pragma once

#include "core/call_id.h"
#include "core/entry_id.h"
#include "core/start_order.h"

namespace teaselward
{

/** An entry requests the start of a task. */
struct start_received {
    call_id call;
    entry_id from;
    start_order order;
};

} // namespace teaselward
