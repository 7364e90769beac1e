#include "share/queue_time_limit.h"

#include "share/response_slack.h"

#include <algorithm>

namespace teaselward
{

namespace
{

// Fraction of the objective after which a job that has not started is refused. The caller keeps most of its time for another attempt.
constexpr double QueueFraction = 0.1;

// Credits for a free slot arrive within this time over any link of a region.
constexpr std::chrono::milliseconds MinQueueTime{20};

} // namespace

std::optional<std::chrono::milliseconds> queueTimeLimit(const kind_rule &rule, std::chrono::milliseconds runTime)
{
    const auto slack = responseSlack(rule, runTime);
    if (!slack) {
        return std::nullopt;
    }
    const auto objective = std::chrono::duration_cast<std::chrono::milliseconds>(rule.stretch * runTime) + rule.target;
    const auto limit = std::chrono::duration_cast<std::chrono::milliseconds>(QueueFraction * objective);
    return std::min(*slack, std::max(MinQueueTime, limit));
}

} // namespace teaselward
