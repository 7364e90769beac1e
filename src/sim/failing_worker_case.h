#pragma once

#include "sim/bench_report.h"

#include <cstdint>

namespace teaselward
{

/**
 * Measures how soon a worker that fails every task is seen and how much work it still gets.
 * @param report receiver of the results
 * @param seed seed of the workload and of the strategies
 */
void runFailingWorkerCase(bench_report &report, std::uint64_t seed);

} // namespace teaselward
