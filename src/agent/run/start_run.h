#pragma once

#include "agent/run/run_id.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace teaselward
{

/** Call that starts a run. */
struct start_run {
    run_id id;
    std::string spec;
    std::chrono::milliseconds leaseEnd{}; ///< On the endpoint's clock.
    std::uint64_t fencingToken = 0;
};

} // namespace teaselward
