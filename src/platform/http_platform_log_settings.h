#pragma once

#include <chrono>
#include <cstddef>
#include <string>

namespace teaselward
{

/** Settings of the client of the platform log over HTTP. */
struct http_platform_log_settings {
    std::string url; ///< Base address, for example "http://10.0.0.5:7400".
    std::chrono::milliseconds connectTimeout = std::chrono::milliseconds(500); ///< Longest time to connect.
    std::chrono::milliseconds readTimeout = std::chrono::seconds(1); ///< Longest time of a read beyond its wait.
    std::size_t responseLimit = std::size_t{8} << 20; ///< Bytes of one answer; a record of 3 MiB takes 4 MiB in base64.
};

} // namespace teaselward
