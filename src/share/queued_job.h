#pragma once

#include "base/clock.h"
#include "core/ticket_id.h"
#include "share/queued_task.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>

namespace teaselward
{

/** Queued tasks of one job. */
struct queued_job {
    ticket_id ticket;
    std::size_t kind = 0; ///< Index of the kind.
    std::size_t team = 0; ///< Index of the team within the kind.
    std::multimap<mono_time, ticket_id>::iterator expiry; ///< Position in the list of deadlines.
    mono_time queuedAt{}; ///< Time from which the job has been in the queue.
    mono_time due{}; ///< Sort key of the jobs of a team; jobs with fewer tasks are due earlier.
    bool hasObjective = false; ///< The due time results from the objective of the kind.
    std::chrono::milliseconds run{}; ///< Expected run time of its longest task.
    std::deque<queued_task> tasks;
};

} // namespace teaselward
