#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace teaselward
{

/** Settings of one HTTP listener. */
struct http_listener_settings {
    std::string listen; ///< Address as IP:PORT.
    std::size_t bodyLimit = 0; ///< Maximum bytes of one request body.
    std::size_t bufferLimit = 0; ///< Maximum bytes of all request bodies that are being received.
    std::uint32_t connectionLimit = 0; ///< Maximum open connections.
    std::chrono::milliseconds idleTimeout{}; ///< A connection without traffic is closed after this time.
    std::vector<std::string> headers{}; ///< Names of the request headers that the handler reads.
};

} // namespace teaselward
