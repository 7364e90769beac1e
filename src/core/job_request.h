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
    std::chrono::milliseconds timeLimit{}; ///< Time until the deadline, counted from the arrival at the home.
    std::vector<std::string> payloads; ///< One for each task.
    std::string key; ///< Identifier of the caller such as an order number; may be empty.
    task_resources needs{}; ///< What each task takes of its endpoint; zero if the kind counts slots only.
    std::chrono::milliseconds estimate{}; ///< Run time of a task as the caller declares it; zero if unknown.
};

} // namespace teaselward
