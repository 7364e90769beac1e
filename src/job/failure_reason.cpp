#include "job/failure_reason.h"

namespace teaselward
{

task_outcome unknownOutcome()
{
    task_outcome outcome;
    outcome.verdict = task_verdict::unknown;
    outcome.why = reason::outcomeUnknown;
    return outcome;
}

reason failureReason(const task_outcome &outcome)
{
    if (outcome.why == reason::deadlineExceeded) {
        return reason::deadlineExceeded;
    }
    return outcome.verdict == task_verdict::failed ? reason::taskFailed : reason::outcomeUnknown;
}

} // namespace teaselward
