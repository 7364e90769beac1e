#pragma once

#include "base/clock.h"
#include "core/ticket_id.h"
#include "share/queued_task.h"

#include <cstddef>
#include <deque>
#include <map>

namespace teaselward
{

/** Tasks of one job that wait. */
struct queued_job {
    ticket_id ticket;
    std::size_t kind = 0; ///< Number of the kind's queue.
    std::size_t team = 0; ///< Number of the team in the kind's queue.
    std::multimap<mono_time, ticket_id>::iterator expiry; ///< Position in the order of the deadlines.
    mono_time due{}; ///< Orders the jobs of a team; smaller jobs are due earlier.
    bool hasObjective = false; ///< The due time is that of an objective.
    std::deque<queued_task> tasks;
};

} // namespace teaselward
