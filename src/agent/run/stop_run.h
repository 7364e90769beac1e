#pragma once

#include "agent/run/run_id.h"

#include <cstdint>

namespace teaselward
{

/** Call that stops a run. Once it is accepted, a start of the same or a lower attempt that arrives later is refused. */
struct stop_run {
    run_id id;
    std::uint64_t fencingToken = 0;
};

} // namespace teaselward
