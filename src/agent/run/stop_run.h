#pragma once

#include "agent/run/run_id.h"

#include <cstdint>

namespace teaselward
{

/** Call that stops a run. Once it is accepted, the endpoint refuses a later start of the same or a lower attempt. */
struct stop_run {
    run_id id;
    std::uint64_t fencingToken = 0;
};

} // namespace teaselward
