#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace teaselward
{

/** Merged keys of a section [service NAME]: the values that its kinds inherit unless they set their own. */
struct service_section {
    std::optional<std::string> description;
    std::optional<double> weight;
    std::optional<bool> idempotent;
    std::optional<std::chrono::milliseconds> timeLimit;
    std::optional<std::uint32_t> queueLimit;
    std::optional<std::uint32_t> taskLimit;
};

} // namespace teaselward
