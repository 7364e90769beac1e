#include "sim/overload_case.h"

#include "sim/percentile.h"
#include "sim/sim_cluster.h"

#include <array>
#include <cstdio>

namespace teaselward
{

namespace
{

constexpr double LoadPerKind = 1.0; // The three kinds add up to three times the capacity.

} // namespace

void runOverloadCase(bench_report &report, std::uint64_t seed)
{
    report.writeLine("(d) 3x overload of everything; targets: goodput/capacity >= 0.95, refusals within 10 ms");
    sim_setup setup;
    setup.seed = seed;
    setup.duration = std::chrono::seconds(180);
    setup.load.fill(LoadPerKind);
    for (const bool fifo : {false, true}) {
        setup.fifo = fifo;
        sim_cluster cluster(setup);
        const sim_stats &stats = cluster.run();
        std::uint64_t failed = 0;
        std::uint64_t complete = 0;
        for (const auto &kind : stats.kinds) {
            failed += kind.failed;
            complete += kind.complete;
        }
        std::array<char, 200> line{};
        std::snprintf(line.data(),
                      line.size(),
                      "%-6s goodput %.3f  accepted jobs that failed %.3f %%  refusal p50 %.2f ms p99 %.2f ms  wasted %.4f",
                      fifo ? "fifo" : "fair",
                      stats.goodput(),
                      100.0 * static_cast<double>(failed) / static_cast<double>(failed + complete),
                      1000 * percentile(stats.refusalTimes, 0.5),
                      1000 * percentile(stats.refusalTimes, 0.99),
                      stats.wastedMessagesPerTask());
        report.writeLine(line.data());
        report.add(stats);
    }
}

} // namespace teaselward
