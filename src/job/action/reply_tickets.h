#pragma once

#include "core/reason.h"
#include "core/request_id.h"
#include "core/ticket.h"

#include <vector>

namespace teaselward
{

/** Answers a request for tickets. */
struct reply_tickets {
    request_id request;
    reason why = reason::none; ///< Set if the request is refused.
    std::vector<ticket> tickets;
};

} // namespace teaselward
