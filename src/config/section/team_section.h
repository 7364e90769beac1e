#pragma once

#include <cstdint>
#include <optional>

namespace teaselward
{

/** Keys of a section [team NAME] after merging. */
struct team_section {
    std::optional<double> weight;
    std::optional<std::uint32_t> quota;
};

} // namespace teaselward
