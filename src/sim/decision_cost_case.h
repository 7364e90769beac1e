#pragma once

#include "sim/bench_report.h"

#include <cstdint>

namespace teaselward
{

/**
 * Measures the CPU time that queue and placement use per task. The result is not part of the signature.
 * @param report report to which the results are written
 * @param seed seed of the workload and of the placement strategies
 */
void runDecisionCostCase(bench_report &report, std::uint64_t seed);

} // namespace teaselward
