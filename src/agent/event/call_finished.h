#pragma once

#include "core/task_id.h"
#include "core/task_outcome.h"

#include <vector>

namespace teaselward
{

/** The endpoint answered a call, or the call failed. */
struct call_finished {
    task_id id;
    task_outcome outcome; ///< Its verdict is notStarted only if no byte of the request was sent.
    std::vector<task_id> unstarted{}; ///< Tasks lost in the same crash that may not have started; set in the first end of the crash.
};

} // namespace teaselward
