#pragma once

#include "core/request_id.h"
#include "core/ticket.h"

namespace teaselward
{

/** Forwards a cancellation to its home entry. */
struct forward_cancel {
    request_id request;
    ticket source; ///< Names the home entry.
};

} // namespace teaselward
