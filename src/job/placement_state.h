#pragma once

#include <cstdint>

namespace teaselward
{

/** State of a start at the entry that sent it. */
enum class placement_state : std::uint8_t {
    sent, ///< The answer is expected on the connection.
    ambiguous, ///< The answer was lost, so the task may or may not run; the agent is asked to revoke the start.
    running, ///< The answer was lost, but the agent reported that the task is running; it is polled for the outcome.
};

} // namespace teaselward
