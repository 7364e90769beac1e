#pragma once

#include "core/agent_info.h"
#include "core/endpoint_health.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace teaselward
{

/** Status of one endpoint, shown to operators. */
struct endpoint_status {
    agent_info info;
    endpoint_health health = endpoint_health::healthy;
    std::string why; ///< Short explanation of the health.
    std::uint32_t credits = 0; ///< Free slot credits that this entry holds.
    std::uint32_t outstanding = 0; ///< Tasks that this entry has started there.
    double relativeFactor = 1; ///< Run time factor relative to the median of the connected endpoints.
    std::size_t speedClass = 0; ///< From the fastest; equal for all endpoints unless their speeds differ much.
};

} // namespace teaselward
