#pragma once

#include "core/kind_rule.h"

#include <chrono>
#include <optional>

namespace teaselward
{

/**
 * Computes how long a job may wait for its first start before it is refused. Answers an overload: with more work than the
 * endpoints can do, a longer queue serves no more jobs, and a caller that is refused late has no time left for another attempt.
 * @param rule rule of the kind
 * @param runTime expected run time of its longest task
 * @return the time, at least 20 ms and at most the slack of the job; empty if the kind has no objective
 */
std::optional<std::chrono::milliseconds> queueTimeLimit(const kind_rule &rule, std::chrono::milliseconds runTime);

} // namespace teaselward
