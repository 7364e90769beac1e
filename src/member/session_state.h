#pragma once

#include <cstdint>

namespace teaselward
{

/** What is to be done about a session. */
enum class session_state : std::uint8_t {
    alive, ///< Nothing.
    heartbeatDue, ///< A heartbeat is due, since nothing was sent for a while.
    expired, ///< The peer has been heartbeatDue for longer than the lease.
};

} // namespace teaselward
