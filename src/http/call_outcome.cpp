#include "http/call_outcome.h"

#include <array>
#include <utility>

namespace teaselward
{

namespace
{

constexpr long FirstSuccess = 200;
constexpr long LastSuccess = 299;
constexpr long ServiceUnavailable = 503;

// Maximum bytes of a failure's description that are kept for operators.
constexpr std::size_t MaxDescriptionSize = 1000;

bool isSuccess(const call_completion &completion)
{
    return completion.answered && completion.status >= FirstSuccess && completion.status <= LastSuccess;
}

bool isDeclined(const call_completion &completion)
{
    return completion.answered && completion.status == ServiceUnavailable && completion.saysNotRun;
}

bool isReportedFailure(const call_completion &completion)
{
    return completion.answered || completion.resultTooLarge;
}

bool hasTimedOutUnsent(const call_completion &completion)
{
    return completion.bytesSent == 0 && completion.timedOut;
}

bool isUnsent(const call_completion &completion)
{
    return completion.bytesSent == 0;
}

bool hasTimedOut(const call_completion &completion)
{
    return completion.timedOut;
}

bool isLost(const call_completion & /*completion*/)
{
    return true;
}

struct verdict_rule {
    bool (*applies)(const call_completion &completion);
    task_verdict verdict;
    reason why;
};

// The first rule that applies determines the outcome. A request that was sent may still run after its time limit.
constexpr std::array Rules = {
    verdict_rule{&isSuccess, task_verdict::succeeded, reason::none},
    verdict_rule{&isDeclined, task_verdict::notStarted, reason::overloaded},
    verdict_rule{&isReportedFailure, task_verdict::failed, reason::taskFailed},
    verdict_rule{&hasTimedOutUnsent, task_verdict::notStarted, reason::deadlineExceeded},
    verdict_rule{&isUnsent, task_verdict::notStarted, reason::noEndpoint},
    verdict_rule{&hasTimedOut, task_verdict::unknown, reason::deadlineExceeded},
    verdict_rule{&isLost, task_verdict::unknown, reason::outcomeUnknown},
};

} // namespace

task_outcome outcomeOfCall(call_completion completion)
{
    task_outcome outcome;
    for (const verdict_rule &rule : Rules) {
        if (rule.applies(completion)) {
            outcome.verdict = rule.verdict;
            outcome.why = rule.why;
            break;
        }
    }
    outcome.runTime = completion.duration;
    outcome.body = std::move(completion.body);
    if (outcome.verdict != task_verdict::succeeded && outcome.body.size() > MaxDescriptionSize) {
        outcome.body.resize(MaxDescriptionSize);
    }
    return outcome;
}

} // namespace teaselward
