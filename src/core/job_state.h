#pragma once

#include <cstdint>

namespace teaselward
{

/** State of a job as reported to its caller. */
enum class job_state : std::uint8_t {
    refused, ///< No job was created.
    running, ///< Accepted and not yet answered.
    complete, ///< Every task succeeded.
    failed, ///< At least one task has no result.
};

} // namespace teaselward
