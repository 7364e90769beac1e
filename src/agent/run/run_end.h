#pragma once

#include "agent/run/run_id.h"
#include "agent/run/run_result.h"

#include <cstdint>

namespace teaselward
{

/** End of a run, as the endpoint lists it until it is acknowledged. */
struct run_end {
    std::uint64_t number = 0; ///< Sequence number of the end, counted from 1 by each endpoint instance.
    run_id id;
    run_result result = run_result::failed;
};

} // namespace teaselward
