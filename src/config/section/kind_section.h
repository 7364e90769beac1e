#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace teaselward
{

/** Merged keys of a section [kind NAME]. A key that is not set inherits the value of the service, or else has its default. */
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
