#pragma once

#include <cstdint>

namespace teaselward
{

/** State of a run as known to the agent that requested it. */
enum class run_state : std::uint8_t {
    starting, ///< The start is not answered yet.
    unconfirmed, ///< The start was not answered; the next list shows whether the run exists.
    running,
    stopping, ///< A stop was sent.
    stopped, ///< The stop was accepted; the run has ended once a later list does not contain it.
};

} // namespace teaselward
