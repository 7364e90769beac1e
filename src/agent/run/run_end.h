#pragma once

#include "agent/run/run_id.h"
#include "agent/run/run_result.h"

#include <cstdint>

namespace teaselward
{

/** End of a run, as the endpoint lists it until it is acknowledged. */
struct run_end {
    std::uint64_t number = 0; ///< Counts the ends of one life of the endpoint from 1 on.
    run_id id;
    run_result result = run_result::failed;
};

} // namespace teaselward
