#pragma once

#include "sim/bench_report.h"

#include <cstdint>

namespace teaselward
{

/**
 * Compares all placement strategies at 70 % load with the lower bound given by a central queue.
 * @param report report to which the results are written
 * @param seed seed of the workload and of the placement strategies
 */
void runPlacementCase(bench_report &report, std::uint64_t seed);

} // namespace teaselward
