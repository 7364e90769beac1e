#pragma once

#include <cstdint>

namespace teaselward
{

/** What is to be done about a session. */
enum class session_verdict : std::uint8_t {
    alive, ///< Nothing.
    silent, ///< A heartbeat is due, since nothing was sent for a while.
    expired, ///< The peer has been silent for longer than the lease.
};

} // namespace teaselward
