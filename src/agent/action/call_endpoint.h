#pragma once

#include "core/task_id.h"

#include <chrono>
#include <string>

namespace teaselward
{

/** Runs a task on the endpoint. */
struct call_endpoint {
    task_id id;
    std::string kind;
    std::string payload;
    std::chrono::milliseconds timeLimit{};
    std::string key{}; ///< Identifier of the job that the caller chose; may be empty.
    std::chrono::milliseconds estimate{}; ///< Run time as the caller declares it; zero if unknown.
};

} // namespace teaselward
