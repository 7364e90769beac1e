#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace teaselward
{

/** Merged keys of a section [peak NAME]: rules of kinds for certain hours of a local time. */
struct peak_section {
    std::optional<std::string> zone;
    std::optional<std::chrono::minutes> from; ///< Local time of day, below 24 h.
    std::optional<std::chrono::minutes> to; ///< Local time of day, above 0 and up to 24 h.
    std::optional<std::uint8_t> days; ///< Bit n is set for day n of the week, with Sunday as 0.
    std::optional<std::vector<std::string>> kinds; ///< "*" stands for all kinds.
    std::optional<double> weight;
    std::optional<double> floor;
};

} // namespace teaselward
