#pragma once

#include "core/call_id.h"
#include "core/entry_id.h"
#include "core/ticket_id.h"

namespace teaselward
{

/** An entry recovers a ticket whose home is gone. */
struct fence_received {
    call_id call;
    entry_id from;
    ticket_id ticket;
};

} // namespace teaselward
