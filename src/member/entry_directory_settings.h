#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace teaselward
{

/** Settings of entry_directory. */
struct entry_directory_settings {
    std::chrono::milliseconds firstDelay = std::chrono::milliseconds(50); ///< Upper bound of the first backoff delay.
    std::chrono::milliseconds reconnectLimit = std::chrono::seconds(2); ///< Upper bound of all backoff delays.
    std::chrono::milliseconds forgetAfter = std::chrono::minutes(10); ///< A learned address that has been unreachable for this time is dropped.
    unsigned retryBurst = 64; ///< Connection attempts that may be made in a burst.
    std::chrono::milliseconds retryInterval = std::chrono::milliseconds(20); ///< One more attempt is allowed per interval.
    std::size_t capacity = 256; ///< Maximum number of addresses; further learned ones are ignored.
    std::uint64_t seed = 1; ///< Seed of the backoff jitter.
};

} // namespace teaselward
