#pragma once

#include "core/task_id.h"

namespace teaselward
{

/** Ends the run of a task at the endpoint; call_finished tells when it has ended. */
struct stop_call {
    task_id id;
};

} // namespace teaselward
