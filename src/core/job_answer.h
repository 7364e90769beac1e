#pragma once

#include "core/job_state.h"
#include "core/reason.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace teaselward
{

/** Complete answer to a submission; there are no partial answers. */
struct job_answer {
    job_state state = job_state::refused;
    reason why = reason::none;
    bool notRun = false; ///< No task was or will be started.
    std::vector<std::string> results; ///< One for each task if complete, otherwise empty.
    std::chrono::milliseconds retryAfter{}; ///< Delay after which a new attempt is useful; zero if there is none.
};

} // namespace teaselward
