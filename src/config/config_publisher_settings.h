#pragma once

#include <chrono>
#include <string>

namespace teaselward
{

/** Settings of the publisher of configuration changes. */
struct config_publisher_settings {
    std::string stream = "teaselward-config"; ///< Name of the stream.
    std::string author; ///< Name of the operator.
    std::chrono::milliseconds timeout = std::chrono::seconds(10); ///< Longest time to load the state, and to publish one change.
    std::chrono::milliseconds appendTimeout = std::chrono::seconds(1); ///< Timeout of one append.
    std::chrono::milliseconds retryLimit = std::chrono::seconds(1); ///< Upper bound of the backoff delays.
};

} // namespace teaselward
