#pragma once

#include "sim/bench_report.h"

#include <cstdint>

namespace teaselward
{

/**
 * Measures what the other kinds keep while one kind floods at ten times the capacity.
 * @param report receiver of the results
 * @param seed seed of the workload and of the strategies
 */
void runFloodCase(bench_report &report, std::uint64_t seed);

} // namespace teaselward
