#include "share/response_slack.h"

#include <algorithm>

namespace teaselward
{

namespace
{

// Time that a job without waiting spends in messages between its arrival and its answer.
constexpr std::chrono::milliseconds MessageOverhead{20};

// An objective below the message overhead must not cause all jobs to be refused.
constexpr std::chrono::milliseconds MinSlack{20};

} // namespace

std::optional<std::chrono::milliseconds> responseSlack(const kind_rule &rule, std::chrono::milliseconds runTime)
{
    if (rule.stretch <= 0) {
        return std::nullopt;
    }
    const auto stretched = std::chrono::duration_cast<std::chrono::milliseconds>((rule.stretch - 1) * runTime);
    return std::max(MinSlack, stretched + rule.target - MessageOverhead);
}

} // namespace teaselward
