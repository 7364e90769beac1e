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
    std::string key{}; ///< Job identifier chosen by the caller; may be empty.
    std::chrono::milliseconds estimate{}; ///< Run time declared by the caller; zero if unknown.
};

} // namespace teaselward
