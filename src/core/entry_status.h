#pragma once

#include "core/endpoint_status.h"
#include "core/entry_info.h"
#include "core/queue_status.h"
#include "core/refusal_counts.h"
#include "core/separation_status.h"

#include <cstdint>
#include <vector>

namespace teaselward
{

/** Status of an entry, shown to operators. */
struct entry_status {
    entry_info self;
    bool draining = false;
    std::uint64_t rulesOffset = 0; ///< Log offset of the active rules.
    std::uint64_t evacuatedDomains = 0; ///< Failure domains that the operators have evacuated.
    std::uint64_t evacuatedRefusals = 0; ///< Starts that agents refused because their failure domain is evacuated.
    std::uint64_t runningJobs = 0;
    std::uint64_t keptAnswers = 0; ///< Finished jobs whose answers are still stored.
    std::vector<entry_info> peers;
    std::vector<endpoint_status> endpoints;
    std::vector<queue_status> queues;
    separation_status separation;
    refusal_counts refusals; ///< Jobs refused for lack of capacity.
};

} // namespace teaselward
