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
    std::uint64_t seed = 1; ///< Seed of the backoff jitter and of the ranks of the addresses.
    std::size_t sessionTarget = 0; ///< Connections to keep, to the addresses with the highest ranks; zero to connect to all addresses.
    std::chrono::milliseconds replaceAfter = std::chrono::seconds(3); ///< An address that is unreachable for this time is replaced by the next in rank.
    std::chrono::milliseconds retireAfter = std::chrono::seconds(5); ///< A connection that has not been needed for this time is to be closed.
};

} // namespace teaselward
