#include "sim/overload_case.h"

#include "sim/percentile.h"
#include "sim/sim_cluster.h"

#include <array>
#include <cstdio>

namespace teaselward
{

namespace
{

constexpr double OverloadOfEach = 1.0; // Three kinds make three times the capacity.

} // namespace

void runOverloadCase(bench_report &report, std::uint64_t seed)
{
    report.line("(d) 3x overload of everything; targets: goodput/capacity >= 0.95, refusals within 10 ms");
    sim_setup setup;
    setup.seed = seed;
    setup.length = std::chrono::seconds(180);
    setup.load.fill(OverloadOfEach);
    for (const bool fifo : {false, true}) {
        setup.fifo = fifo;
        sim_cluster cluster(setup);
        const sim_measures &measures = cluster.run();
        std::uint64_t failed = 0;
        std::uint64_t complete = 0;
        for (const auto &kind : measures.kinds) {
            failed += kind.failed;
            complete += kind.complete;
        }
        std::array<char, 200> line{};
        std::snprintf(line.data(),
                      line.size(),
                      "%-6s goodput %.3f  accepted jobs that failed %.3f %%  refusal p50 %.2f ms p99 %.2f ms  wasted %.4f",
                      fifo ? "fifo" : "fair",
                      measures.goodput(),
                      100.0 * static_cast<double>(failed) / static_cast<double>(failed + complete),
                      1000 * percentile(measures.refusalTimes, 0.5),
                      1000 * percentile(measures.refusalTimes, 0.99),
                      measures.wasted());
        report.line(line.data());
        report.add(measures);
    }
}

} // namespace teaselward
