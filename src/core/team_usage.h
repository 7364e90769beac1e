#pragma once

#include <cstdint>
#include <string>

namespace teaselward
{

/** One entry's use of a team's quota. */
struct team_usage {
    std::string team;
    std::uint32_t inProgress = 0; ///< Tasks queued or started.
    std::uint32_t wanted = 0; ///< Tasks in progress or refused by quota since the last report.
};

} // namespace teaselward
