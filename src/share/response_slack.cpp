#include "share/response_slack.h"

#include <algorithm>

namespace teaselward
{

namespace
{

// Time between the arrival of a job and its answer that is neither waiting nor run time: the messages to the endpoint and back.
constexpr std::chrono::milliseconds MessageOverhead{20};

// Lower bound of the result: without it, an objective below the message overhead would cause all jobs to be refused.
constexpr std::chrono::milliseconds MinSlack{20};

} // namespace

std::optional<std::chrono::milliseconds> responseSlack(const kind_rule &rule, std::chrono::milliseconds runTime)
{
    if (rule.stretch <= 0) {
        return std::nullopt;
    }
    // The objective is stretch * runTime + target. Without the run itself and its messages, the rest is left for waiting.
    const auto runTimeAllowance = std::chrono::duration_cast<std::chrono::milliseconds>((rule.stretch - 1) * runTime);
    return std::max(MinSlack, runTimeAllowance + rule.target - MessageOverhead);
}

} // namespace teaselward
