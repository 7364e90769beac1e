#pragma once

#include <chrono>
#include <string>

namespace teaselward
{

/** Settings of the publisher of configuration changes. */
struct config_publisher_settings {
    std::string stream = "teaselward-config"; ///< Name of the stream.
    std::string author; ///< Name of the operator.
    std::chrono::milliseconds timeout = std::chrono::seconds(10); ///< Longest time to reach the log, and again to publish one change.
    std::chrono::milliseconds appendTimeout = std::chrono::seconds(1); ///< Longest time of one append.
    std::chrono::milliseconds retryLimit = std::chrono::seconds(1); ///< Longest delay of the jittered backoff.
};

} // namespace teaselward
