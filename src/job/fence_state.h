#pragma once

#include <cstdint>

namespace teaselward
{

/** What a recovery knows about one agent. */
enum class fence_state : std::uint8_t {
    sent, ///< The fence was sent.
    retryPending, ///< The agent did not answer, or a task of the ticket is running there.
};

} // namespace teaselward
