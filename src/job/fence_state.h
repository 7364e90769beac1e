#pragma once

#include <cstdint>

namespace teaselward
{

/** Progress of a recovery at one agent. */
enum class fence_state : std::uint8_t {
    sent, ///< The fence was sent and is not answered yet.
    retryPending, ///< The agent did not answer, or still runs a task of the ticket; the fence is repeated.
};

} // namespace teaselward
