#pragma once

#include <cstdint>

namespace teaselward
{

/** What an agent knows about a run that it ordered. */
enum class run_state : std::uint8_t {
    starting, ///< The start is not answered yet.
    unconfirmed, ///< The start got no answer; the next list tells whether the run is there.
    running,
    stopping, ///< A stop was sent.
    stopped, ///< The stop was accepted; the run is gone once a later list does not name it.
};

} // namespace teaselward
