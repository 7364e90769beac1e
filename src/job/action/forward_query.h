#pragma once

#include "core/request_id.h"
#include "core/ticket.h"

#include <chrono>

namespace teaselward
{

/** Forwards a query to its home entry. */
struct forward_query {
    request_id request;
    ticket source; ///< Names the home entry.
    std::chrono::milliseconds wait{}; ///< Longest time to wait for the final answer.
};

} // namespace teaselward
