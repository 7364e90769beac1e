#pragma once

#include "share/queued_job.h"

#include <cstdint>
#include <list>
#include <string>

namespace teaselward
{

/** Queued jobs of one team and kind, ordered by due time. */
struct team_queue {
    std::string name;
    std::list<queued_job> jobs;
    std::uint32_t queued = 0;
    std::uint32_t started = 0;
    std::uint32_t inProgress = 0; ///< Tasks that are admitted and not finished.
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
};

} // namespace teaselward
