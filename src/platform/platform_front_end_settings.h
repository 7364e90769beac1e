#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace teaselward
{

/** Settings of the front towards the platform's clients. */
struct platform_front_end_settings {
    std::string listen; ///< Address for clients as IP:PORT.
    std::string readiness; ///< Address for the balancer as IP:PORT.
    std::size_t bodyLimit = 256 * 1024; ///< Bytes of one request.
    std::size_t bufferLimit = 32 << 20; ///< Bytes of all bodies that are being received.
    std::uint32_t connectionLimit = 3000; ///< Connections of clients; the process has 3,900 descriptors for sockets.
    std::chrono::milliseconds idleTimeout = std::chrono::seconds(60);
};

} // namespace teaselward
