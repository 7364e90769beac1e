#pragma once

#include "sim/bench_report.h"

#include <cstdint>

namespace teaselward
{

/**
 * Measures how soon the entries detect a worker that fails every task, and how many tasks it gets after that.
 * @param report report to which the results are written
 * @param seed seed of the workload and of the placement strategies
 */
void runFailingWorkerCase(bench_report &report, std::uint64_t seed);

} // namespace teaselward
