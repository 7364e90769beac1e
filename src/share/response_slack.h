#pragma once

#include "core/kind_rule.h"

#include <chrono>
#include <optional>

namespace teaselward
{

/**
 * Computes how long a job may wait and still be answered within the objective of its kind.
 * @param rule rule of the kind
 * @param runTime expected run time of its longest task
 * @return the time, at least 20 ms; empty if the kind has no objective
 */
std::optional<std::chrono::milliseconds> responseSlack(const kind_rule &rule, std::chrono::milliseconds runTime);

} // namespace teaselward
