#pragma once

#include "sim/bench_report.h"

#include <cstdint>

namespace teaselward
{

/**
 * Measures goodput and refusal times at a load of three times the capacity.
 * @param report report to which the results are written
 * @param seed seed of the workload and of the placement strategies
 */
void runOverloadCase(bench_report &report, std::uint64_t seed);

} // namespace teaselward
