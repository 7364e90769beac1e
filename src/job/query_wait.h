#pragma once

#include "core/request_id.h"

#include <cstdint>

namespace teaselward
{

/** Request whose wait for the answer of a job has a time limit. */
struct query_wait {
    std::uint64_t sequence = 0; ///< Sequence number of the ticket of the job.
    request_id request;
};

} // namespace teaselward
