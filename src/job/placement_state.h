#pragma once

#include <cstdint>

namespace teaselward
{

/** What the home knows about a start that it sent. */
enum class placement_state : std::uint8_t {
    sent, ///< The answer is due on the connection.
    ambiguous, ///< The answer is lost; the agent is asked to revoke the start.
    running, ///< The answer is lost, but the agent said that the task is running; it is asked for the outcome.
};

} // namespace teaselward
