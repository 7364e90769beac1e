#pragma once

#include <cstdint>

namespace teaselward
{

/** Open connection to a worker. */
struct worker_connection {
    std::uint64_t id = 0;
    int socket = -1;
    int localPort = 0; ///< Zero until the first call through the connection.
    bool isBusy = false; ///< A call is in progress.
    bool isConfirmed = false; ///< The adopted instance has answered a list call.
};

} // namespace teaselward
