#pragma once

#include "base/clock.h"
#include "core/task_id.h"

#include <chrono>

namespace teaselward
{

/** Run in progress at an endpoint that will stop at an announced time. */
struct noticed_run {
    task_id id;
    std::chrono::microseconds expected{}; ///< Expected run time; zero if unknown.
    mono_time startedAt{};
    bool restartable = false; ///< Its entry may start the task again.
};

} // namespace teaselward
