#pragma once

#include <cstdint>

namespace teaselward
{

/** Rules for one team. */
struct team_rule {
    double weight = 1.0; ///< Share relative to the other teams of a kind.
    std::uint32_t quota = 0; ///< Maximum number of tasks in progress over all entries; zero for no limit.
};

} // namespace teaselward
