#pragma once

#include "core/reason.h"
#include "core/task_outcome.h"

namespace teaselward
{

/** @return outcome of a start whose agent can no longer be queried */
task_outcome unknownOutcome();

/**
 * Maps the outcome of a task without a result to the failure reason of its job.
 * @param outcome outcome of the task
 * @return reason that is reported to the caller of the job
 */
reason failureReason(const task_outcome &outcome);

} // namespace teaselward
