#pragma once

#include "core/entry_id.h"
#include "core/team_usage.h"

#include <vector>

namespace teaselward
{

/** Another entry reported its usage of the workspace (team) quotas. */
struct peer_reported {
    entry_id peer;
    std::vector<team_usage> usage;
};

} // namespace teaselward
