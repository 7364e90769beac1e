#pragma once

#include "sim/bench_report.h"

#include <cstdint>

namespace teaselward
{

/**
 * Measures goodput and response times of the other kinds while the load of one kind is ten times the capacity.
 * @param report report to which the results are written
 * @param seed seed of the workload and of the placement strategies
 */
void runFloodCase(bench_report &report, std::uint64_t seed);

} // namespace teaselward
