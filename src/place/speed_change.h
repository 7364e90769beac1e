#pragma once

#include "core/agent_id.h"

#include <cstddef>

namespace teaselward
{

/** Change of the speed class of an endpoint. */
struct speed_change {
    agent_id agent;
    double relativeFactor = 1; ///< Run time factor relative to the median of the connected endpoints.
    std::size_t from = 0; ///< Former class.
    std::size_t to = 0; ///< New class.
};

} // namespace teaselward
