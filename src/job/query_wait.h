#pragma once

#include "core/request_id.h"

#include <cstdint>

namespace teaselward
{

/** Query that waits for the answer of a job for a limited time. */
struct query_wait {
    std::uint64_t sequence = 0; ///< Ticket of the job.
    request_id request;
};

} // namespace teaselward
