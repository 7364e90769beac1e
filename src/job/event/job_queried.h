#pragma once

#include "core/request_id.h"
#include "core/ticket.h"

#include <chrono>

namespace teaselward
{

/** A caller queries the answer of a job. */
struct job_queried {
    request_id request;
    ticket source;
    std::chrono::milliseconds wait{}; ///< Longest time to wait for the final answer.
};

} // namespace teaselward
