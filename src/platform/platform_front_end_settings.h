#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace teaselward
{

/** Settings of platform_front_end. */
struct platform_front_end_settings {
    std::string listen; ///< Address for clients as IP:PORT.
    std::string readiness; ///< Address for the load balancer as IP:PORT.
    std::size_t bodyLimit = 256 * 1024; ///< Maximum bytes of one request body.
    std::size_t bufferLimit = 32 << 20; ///< Maximum bytes of all request bodies that are being received.
    std::uint32_t connectionLimit = 3000; ///< Maximum connections of clients; the process has 3,900 descriptors for sockets.
    std::chrono::milliseconds idleTimeout = std::chrono::seconds(60);
};

} // namespace teaselward
