#pragma once

#include <cstdint>
#include <optional>

namespace teaselward
{

/** Merged keys of a section [team NAME]. */
struct team_section {
    std::optional<double> weight;
    std::optional<std::uint32_t> quota;
};

} // namespace teaselward
