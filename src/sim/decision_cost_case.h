#pragma once

#include "sim/bench_report.h"

#include <cstdint>

namespace teaselward
{

/**
 * Measures the processor time of queue and placement for each task; not part of the signature.
 * @param report receiver of the results
 * @param seed seed of the workload and of the strategies
 */
void runDecisionCostCase(bench_report &report, std::uint64_t seed);

} // namespace teaselward
