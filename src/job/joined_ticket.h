#pragma once

#include "job/request_digest.h"

#include <cstdint>

namespace teaselward
{

/** Ticket that a client key joined to the running job of another ticket. */
struct joined_ticket {
    request_digest digest{};
    std::uint64_t target = 0; ///< Sequence of the ticket of the job.
};

} // namespace teaselward
