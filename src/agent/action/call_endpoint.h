#pragma once

#include "base/clock.h"
#include "core/task_id.h"

#include <chrono>
#include <cstdint>
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
    std::uint64_t homeSession = 0; ///< Session of the home entry on which the run depends; zero if it depends on none.
    mono_time homeConfirmedAt{}; ///< Latest time at which the home entry is known not to have given up the session.
};

} // namespace teaselward
