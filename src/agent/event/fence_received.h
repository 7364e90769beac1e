#pragma once

#include "core/call_id.h"
#include "core/entry_id.h"
#include "core/ticket_id.h"

namespace teaselward
{

/** An entry takes over a ticket whose home entry is unreachable and forbids further starts under it. */
struct fence_received {
    call_id call;
    entry_id from;
    ticket_id ticket;
};

} // namespace teaselward
