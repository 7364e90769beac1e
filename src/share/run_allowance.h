#pragma once

#include "base/clock.h"
#include "share/expected_run_table.h"
#include "share/queued_task.h"

namespace teaselward
{

/**
 * Computes how slow an endpoint may be for a task that starts now, so that its run still ends within the objective of its job.
 * @param task the task
 * @param expectedRuns run times at the usual endpoint
 * @param now current time
 * @return largest run time factor; infinite if the kind has no objective or its run time is not known
 */
double maxRunTimeFactor(const queued_task &task, const expected_run_table &expectedRuns, mono_time now);

} // namespace teaselward
