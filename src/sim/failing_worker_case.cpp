#include "sim/failing_worker_case.h"

#include "sim/bench_variants.h"
#include "sim/sim_cluster.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <string>

namespace teaselward
{

void runFailingWorkerCase(bench_report &report, std::uint64_t seed)
{
    report.writeLine("(c) one worker fails every task after 1 ms from second 30 on; targets: seen by all entries <= 2 s, then <= 2 % of tasks");
    sim_setup setup;
    setup.seed = seed;
    setup.duration = std::chrono::seconds(150);
    setup.failingWorker = 4;
    setup.faultStart = std::chrono::seconds(30);
    for (const bench_variant &variant : BenchVariants) {
        setup.strategy = variant.strategy;
        setup.creditPolicy = variant.creditPolicy;
        sim_cluster cluster(setup);
        const sim_stats &stats = cluster.run();
        std::uint64_t failed = 0;
        std::uint64_t offered = 0;
        for (const auto &kind : stats.kinds) {
            failed += kind.failed;
            offered += kind.offered;
        }
        std::array<char, 200> line{};
        std::snprintf(line.data(),
                      line.size(),
                      "%-22s seen after %6.2f s  share then %6.3f %%  jobs failed %6.3f %%",
                      std::string(variant.name).c_str(),
                      stats.detectionSeconds,
                      100.0 * static_cast<double>(stats.failingWorkerStartsAfterDetection)
                          / static_cast<double>(std::max<std::uint64_t>(1, stats.startsAfterDetection)),
                      100.0 * static_cast<double>(failed) / static_cast<double>(offered));
        report.writeLine(line.data());
        report.add(stats);
    }
}

} // namespace teaselward
