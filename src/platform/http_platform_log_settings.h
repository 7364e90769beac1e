#pragma once

#include <chrono>
#include <cstddef>
#include <string>

namespace teaselward
{

/** Settings of http_platform_log. */
struct http_platform_log_settings {
    std::string url; ///< Base URL, for example "http://10.0.0.5:7400".
    std::chrono::milliseconds connectTimeout = std::chrono::milliseconds(500); ///< Connection timeout.
    std::chrono::milliseconds readTimeout = std::chrono::seconds(1); ///< Timeout of a read, in addition to its wait time.
    std::size_t responseLimit = std::size_t{8} << 20; ///< Maximum bytes of one response; a record of 3 MiB takes 4 MiB in base64.
};

} // namespace teaselward
