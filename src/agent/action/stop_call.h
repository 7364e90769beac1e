#pragma once

#include "core/task_id.h"

namespace teaselward
{

/** Stops the run of a task at the endpoint; call_finished reports its end. */
struct stop_call {
    task_id id;
};

} // namespace teaselward
