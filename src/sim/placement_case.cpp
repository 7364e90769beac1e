#include "sim/placement_case.h"

#include "sim/bench_variants.h"
#include "sim/percentile.h"
#include "sim/sim_central.h"
#include "sim/sim_cluster.h"

#include <cstdio>

namespace teaselward
{

namespace
{

void printRow(bench_report &report, std::string_view name, const sim_stats &stats)
{
    std::array<char, 200> line{};
    std::snprintf(line.data(),
                  line.size(),
                  "%-22s %8.3f %8.3f %8.3f %8.3f %8.3f %8.4f %8.4f %8.4f",
                  std::string(name).c_str(),
                  percentile(stats.jobRatios, 0.5),
                  percentile(stats.jobRatios, 0.9),
                  percentile(stats.jobRatios, 0.99),
                  percentile(stats.taskRatios, 0.5),
                  percentile(stats.taskRatios, 0.99),
                  stats.wastedMessagesPerTask(),
                  static_cast<double>(stats.heldStarts) / static_cast<double>(std::max<std::uint64_t>(1, stats.started)),
                  stats.goodput());
    report.writeLine(line.data());
    report.add(stats);
}

} // namespace

void runPlacementCase(bench_report &report, std::uint64_t seed)
{
    report.writeLine("(a) 70 % load; response/ideal of jobs (target p50 <= 1.02, p99 <= 1.5) and tasks; wasted messages/task (target <= 0.05)");
    report.writeLine("                        job p50  job p90  job p99 task p50 task p99   wasted     held  goodput");
    sim_setup setup;
    setup.seed = seed;
    for (const bench_variant &variant : BenchVariants) {
        setup.strategy = variant.strategy;
        setup.creditPolicy = variant.creditPolicy;
        sim_cluster cluster(setup);
        printRow(report, variant.name, cluster.run());
    }
    printRow(report, "central queue (bound)", runCentralQueue(setup));
}

} // namespace teaselward
