#pragma once

#include <cstdint>

namespace teaselward
{

/** How a run ended at its endpoint. */
enum class run_result : std::uint8_t {
    done,
    failed, ///< Through the fault of the task or of the endpoint.
    stopped, ///< By an order.
    lapsed, ///< The lease ended.
    gangBroken, ///< Another task of its gang ended.
    gangIncomplete, ///< The rest of its gang did not come.
};

} // namespace teaselward
