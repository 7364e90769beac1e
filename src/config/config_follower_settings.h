#pragma once

#include <chrono>
#include <string>

namespace teaselward
{

/** Settings of the thread that follows the configuration on the platform log. */
struct config_follower_settings {
    std::string stream = "teaselward-config"; ///< Name of the stream.
    std::chrono::milliseconds appendTimeout = std::chrono::seconds(1); ///< Timeout of one append.
    std::chrono::milliseconds pollWait = std::chrono::milliseconds(500); ///< Longest time that one read waits for a record.
    std::chrono::milliseconds retryLimit = std::chrono::seconds(1); ///< Upper bound of the backoff delays while the log is down.
    std::chrono::milliseconds retention = std::chrono::hours(24); ///< Time for which the platform keeps records; a snapshot replaces them after half of it.
};

} // namespace teaselward
