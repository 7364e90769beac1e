#pragma once

#include "agent/waiting_call.h"
#include "agent/watched_run.h"
#include "base/clock.h"
#include "core/task_resources.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace teaselward
{

/** Task that is running on the endpoint. */
struct running_task {
    std::vector<waiting_call> calls; ///< Start requests that wait for the outcome; the first one caused the run.
    std::string job; ///< Job identifier chosen by the caller; may be empty.
    std::string kind;
    task_resources needs;
    std::chrono::microseconds expectedRun{}; ///< Run time that the entry expects at a usual endpoint; zero if unknown.
    mono_time startedAt{};
    std::chrono::microseconds expected{}; ///< Expected run time; zero if unknown.
    std::optional<std::chrono::milliseconds> crashAge{}; ///< Age of the last run of the task that was lost with a crashed endpoint.
    std::optional<watched_run> watch{}; ///< Set if interference_monitor watches the run.
    bool highPriority = false; ///< Counted in the reserve for high-priority kinds.
    bool restartable = false; ///< Stopped when the connection to its home entry is lost.
    bool isStopping = false;
};

} // namespace teaselward
