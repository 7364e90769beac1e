#pragma once

#include <chrono>
#include <string>

namespace teaselward
{

/** Settings of the thread that follows the configuration on the platform log. */
struct config_follower_settings {
    std::string stream = "teaselward-config"; ///< Name of the stream.
    std::chrono::milliseconds appendTimeout = std::chrono::seconds(1); ///< Longest time of one append.
    std::chrono::milliseconds pollWait = std::chrono::milliseconds(500); ///< Longest wait of one read.
    std::chrono::milliseconds retryLimit = std::chrono::seconds(1); ///< Longest delay of the jittered backoff while the log is down.
    std::chrono::milliseconds retention = std::chrono::hours(24); ///< Time that the platform keeps records; they are published again after half of it.
};

} // namespace teaselward
