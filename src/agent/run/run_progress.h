#pragma once

#include "agent/run/run_id.h"

#include <cstdint>

namespace teaselward
{

/** Run in progress, as the endpoint lists it. */
struct run_progress {
    run_id id;
    std::uint32_t percent = 0; ///< Completed part of the work.
};

} // namespace teaselward
