#pragma once

#include <cstdint>

namespace teaselward
{

/** State of a session. */
enum class session_state : std::uint8_t {
    alive, ///< Nothing to do.
    heartbeatDue, ///< Nothing was sent for a while; a heartbeat is due.
    expired, ///< Nothing was received from the peer for longer than the lease.
};

} // namespace teaselward
