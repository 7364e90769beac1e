#pragma once

#include "core/task_resources.h"
#include "core/ticket.h"

#include <chrono>
#include <string>
#include <vector>

namespace teaselward
{

/** Submission of a job. */
struct job_request {
    ticket source;
    std::string team;
    std::string kind;
    std::chrono::milliseconds timeLimit{}; ///< Time until the deadline, measured from the arrival at the home entry.
    std::vector<std::string> payloads; ///< One for each task.
    std::string key; ///< Identifier chosen by the caller, such as an order number; may be empty.
    task_resources needs{}; ///< Resources that each task needs at its endpoint; zero if only slots are limited.
    std::chrono::milliseconds estimate{}; ///< Run time of one task as declared by the caller; zero if unknown.
};

} // namespace teaselward
