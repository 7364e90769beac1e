#pragma once

#include "core/job_request.h"

#include <cstddef>
#include <cstdint>

namespace teaselward
{

/** Job of a simulated caller. */
struct chain_job {
    job_request request;
    int submissions = 0;
    std::size_t entry = 0; ///< Entry of the latest submission.
    std::uint64_t open = 0; ///< Number of the request that the caller waits for; zero if there is none.
    bool isComplete = false;
};

} // namespace teaselward
