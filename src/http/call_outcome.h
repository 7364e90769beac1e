#pragma once

#include "core/task_outcome.h"
#include "http/call_completion.h"

namespace teaselward
{

/**
 * Derives the outcome of a task from its call. The task counts as not started only if no byte of the request was sent or the
 * endpoint says so.
 * @param completion result of the call
 * @return outcome of the task
 */
task_outcome outcomeOfCall(call_completion completion);

} // namespace teaselward
