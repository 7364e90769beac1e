#pragma once

#include "sim/bench_report.h"

#include <cstdint>

namespace teaselward
{

/**
 * Measures the fraction of slots that each entry uses under uneven demand, and while one entry is disconnected from the agents.
 * @param report report to which the results are written
 * @param seed seed of the workload and of the placement strategies
 */
void runEntryShareCase(bench_report &report, std::uint64_t seed);

} // namespace teaselward
