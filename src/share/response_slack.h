#pragma once

#include "core/kind_rule.h"

#include <chrono>
#include <optional>

namespace teaselward
{

/**
 * Time that a job may wait and still be answered within its objective.
 * @param rule rule of its kind
 * @param runTime expected run time of its longest task
 * @return the time, at least a few milliseconds; nothing if the kind has no objective
 */
std::optional<std::chrono::milliseconds> responseSlack(const kind_rule &rule, std::chrono::milliseconds runTime);

} // namespace teaselward
