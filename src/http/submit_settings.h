#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace teaselward
{

/** Settings of a submission with retries. */
struct submit_settings {
    std::vector<std::string> entries; ///< Addresses as IP:PORT; the first is tried first.
    std::string team;
    std::string kind;
    std::string key;
    std::chrono::milliseconds timeLimit = std::chrono::seconds(10);
    std::chrono::milliseconds firstBackoff = std::chrono::milliseconds(50);
    std::chrono::milliseconds longestBackoff = std::chrono::seconds(2);
    std::uint32_t attemptLimit = 100; ///< Maximum requests in total, including those for tickets.
    std::uint32_t seed = 1; ///< Seed of the jitter.
};

} // namespace teaselward
