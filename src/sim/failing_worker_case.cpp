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
    report.line("(c) one worker fails every task after 1 ms from second 30 on; targets: seen by all entries <= 2 s, then <= 2 % of tasks");
    sim_setup setup;
    setup.seed = seed;
    setup.length = std::chrono::seconds(150);
    setup.failingWorker = 4;
    setup.faultAt = std::chrono::seconds(30);
    for (const bench_variant &variant : BenchVariants) {
        setup.strategy = variant.strategy;
        setup.creditPolicy = variant.creditPolicy;
        sim_cluster cluster(setup);
        const sim_measures &measures = cluster.run();
        std::uint64_t failed = 0;
        std::uint64_t offered = 0;
        for (const auto &kind : measures.kinds) {
            failed += kind.failed;
            offered += kind.offered;
        }
        std::array<char, 200> line{};
        std::snprintf(line.data(),
                      line.size(),
                      "%-22s seen after %6.2f s  share then %6.3f %%  jobs failed %6.3f %%",
                      std::string(variant.name).c_str(),
                      measures.detected,
                      100.0 * static_cast<double>(measures.faultyAfter) / static_cast<double>(std::max<std::uint64_t>(1, measures.startsAfter)),
                      100.0 * static_cast<double>(failed) / static_cast<double>(offered));
        report.line(line.data());
        report.add(measures);
    }
}

} // namespace teaselward
