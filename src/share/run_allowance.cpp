#include "share/run_allowance.h"

#include <chrono>
#include <limits>

namespace teaselward
{

// The due time allows for the messages and for the run as the objective measures it: at the speed for which callers declare run times. The
// forecast for the same declaration at the usual endpoint can differ from it for the whole kind.
double maxRunTimeFactor(const queued_task &task, const expected_run_table &expectedRuns, mono_time now)
{
    const std::chrono::duration<double> expected = task.due ? expectedRuns.expect(task.kind, task.run) : std::chrono::microseconds::zero();
    if (expected.count() <= 0) {
        return std::numeric_limits<double>::infinity();
    }
    const std::chrono::duration<double> available = *task.due + task.run - now;
    return available / expected;
}

} // namespace teaselward
