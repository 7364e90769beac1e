#pragma once

#include "sim/bench_report.h"

#include <cstdint>

namespace teaselward
{

/**
 * Compares all placement strategies at 70 % load with the lower bound of a central queue.
 * @param report receiver of the results
 * @param seed seed of the workload and of the strategies
 */
void runPlacementCase(bench_report &report, std::uint64_t seed);

} // namespace teaselward
