#pragma once

#include <cstdint>

namespace teaselward
{

/** Result of a run as reported by its endpoint. */
enum class run_result : std::uint8_t {
    done,
    failed, ///< The task or the endpoint failed.
    stopped, ///< Stopped on request.
    lapsed, ///< The lease expired.
    gangBroken, ///< Another task of its gang ended.
    gangIncomplete, ///< The other tasks of its gang did not arrive.
};

} // namespace teaselward
