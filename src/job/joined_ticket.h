#pragma once

#include "job/request_digest.h"

#include <cstdint>

namespace teaselward
{

/** Ticket that was joined by client key to the running job of another ticket. */
struct joined_ticket {
    request_digest digest{};
    std::uint64_t target = 0; ///< Sequence number of the ticket of that job.
};

} // namespace teaselward
