#pragma once

#include "sim/bench_report.h"

#include <cstdint>

namespace teaselward
{

/**
 * Measures the slots of each entry under uneven demand and while one entry is cut off.
 * @param report receiver of the results
 * @param seed seed of the workload and of the strategies
 */
void runEntryShareCase(bench_report &report, std::uint64_t seed);

} // namespace teaselward
