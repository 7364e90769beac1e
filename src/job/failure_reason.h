#pragma once

#include "core/reason.h"
#include "core/task_outcome.h"

namespace teaselward
{

/** @return outcome of a start whose agent can no longer be asked */
task_outcome unknownOutcome();

/**
 * Chooses the reason that the caller of a job sees when one of its tasks ended without a result.
 * @param outcome outcome of the task
 */
reason failureReason(const task_outcome &outcome);

} // namespace teaselward
