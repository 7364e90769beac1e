#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace teaselward
{

/** Bounds of the directory of entries. */
struct entry_directory_settings {
    std::chrono::milliseconds firstDelay = std::chrono::milliseconds(50); ///< Upper end of the first delay of the backoff.
    std::chrono::milliseconds reconnectLimit = std::chrono::seconds(2); ///< Upper end of the longest delay of the backoff.
    std::chrono::milliseconds forgetAfter = std::chrono::minutes(10); ///< A learnt address that was not reached for this time is dropped.
    unsigned retryBurst = 64; ///< Connection attempts that may follow one another at once.
    std::chrono::milliseconds retryInterval = std::chrono::milliseconds(20); ///< Time in which one more attempt is allowed.
    std::size_t capacity = 256; ///< Addresses that are remembered; further learnt ones are ignored.
    std::uint64_t seed = 1; ///< Seed of the jitter.
};

} // namespace teaselward
