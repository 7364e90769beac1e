#pragma once

#include "sim/bench_report.h"

#include <cstdint>

namespace teaselward
{

/**
 * Measures goodput and refusals at three times the capacity.
 * @param report receiver of the results
 * @param seed seed of the workload and of the strategies
 */
void runOverloadCase(bench_report &report, std::uint64_t seed);

} // namespace teaselward
