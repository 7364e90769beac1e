#pragma once

#include "base/clock.h"
#include "core/task_id.h"

#include <chrono>
#include <optional>
#include <string>

namespace teaselward
{

/** Task that waits at its home entry for a slot. */
struct queued_task {
    task_id id;
    std::string kind;
    std::string team;
    mono_time deadline{};
    std::optional<mono_time> due{}; ///< Latest start time that meets the objective of its job; set by task_queue.
    std::chrono::milliseconds run{}; ///< Run time that due allows for; set together with it.
};

} // namespace teaselward
