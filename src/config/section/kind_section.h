#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace teaselward
{

/** Keys of a section [kind NAME] after merging. A key that no file sets takes the service's value or the default. */
struct kind_section {
    std::optional<std::string> service;
    std::optional<double> weight;
    std::optional<double> floor;
    std::optional<bool> idempotent;
    std::optional<std::chrono::milliseconds> timeLimit;
    std::optional<std::uint32_t> queueLimit;
    std::optional<std::uint32_t> taskLimit;
};

} // namespace teaselward
