#pragma once

#include "core/reason.h"
#include "core/task_id.h"

namespace teaselward
{

/** Stops the run of a task at the endpoint; call_finished reports its end. */
struct stop_call {
    task_id id;
    reason why = reason::cancelled; ///< Reason in the outcome of the stopped run.
};

} // namespace teaselward
