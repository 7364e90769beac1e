#pragma once

#include "core/job_state.h"
#include "core/reason.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace teaselward
{

/** Whole answer to a submission; never partial. */
struct job_answer {
    job_state state = job_state::refused;
    reason why = reason::none;
    bool notRun = false; ///< No task was started and none will be.
    std::vector<std::string> results; ///< One for each task if complete, otherwise empty.
    std::chrono::milliseconds retryAfter{}; ///< Earliest useful time for a new attempt; zero if none.
};

} // namespace teaselward
