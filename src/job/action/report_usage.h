#pragma once

#include "core/team_usage.h"

#include <vector>

namespace teaselward
{

/** Reports the use of the team quotas to every other entry. */
struct report_usage {
    std::vector<team_usage> usage;
};

} // namespace teaselward
