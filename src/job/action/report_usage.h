#pragma once

#include "core/team_usage.h"

#include <vector>

namespace teaselward
{

/** Reports the usage of the workspace (team) quotas to all other entries. */
struct report_usage {
    std::vector<team_usage> usage;
};

} // namespace teaselward
