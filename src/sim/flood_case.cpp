#include "sim/flood_case.h"

#include "sim/percentile.h"
#include "sim/sim_cluster.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <string>

namespace teaselward
{

namespace
{

constexpr double FloodLoad = 10;
constexpr std::array<std::string_view, sim_setup::Kinds> Names = {"urgent", "usual", "patient"};

// Prints goodput and p99 response time of the other kinds during the flood, compared with a run without it.
void printFloodComparison(bench_report &report, sim_setup setup, std::string_view name, std::size_t floodingKind, bool singleEntry)
{
    setup.duration = std::chrono::seconds(120);
    sim_cluster baseline(setup);
    const sim_stats &before = baseline.run();
    sim_setup floodSetup = setup;
    floodSetup.load[floodingKind] = FloodLoad;
    floodSetup.singleEntryKind = singleEntry ? floodingKind : sim_setup::None;
    sim_cluster flooded(floodSetup);
    const sim_stats &after = flooded.run();
    for (std::size_t kind = 0; kind < sim_setup::Kinds; ++kind) {
        if (kind == floodingKind) {
            continue;
        }
        const double p99Before = percentile(before.kinds[kind].responses, 0.99);
        const double p99After = percentile(after.kinds[kind].responses, 0.99);
        std::array<char, 200> line{};
        std::snprintf(line.data(),
                      line.size(),
                      "%-6s %-8s floods: %-8s goodput kept %6.3f  p99 %7.3f s -> %7.3f s = %5.2fx  p99/ideal %6.2f -> %6.2f  refused %5.1f %%",
                      std::string(name).c_str(),
                      std::string(Names[floodingKind]).c_str(),
                      std::string(Names[kind]).c_str(),
                      after.kinds[kind].goodput / before.kinds[kind].goodput,
                      p99Before,
                      p99After,
                      p99After / p99Before,
                      percentile(before.kinds[kind].ratios, 0.99),
                      percentile(after.kinds[kind].ratios, 0.99),
                      100.0 * static_cast<double>(after.kinds[kind].refused) / static_cast<double>(std::max<std::uint64_t>(1, after.kinds[kind].offered)));
        report.writeLine(line.data());
    }
    std::array<char, 200> line{};
    std::snprintf(line.data(),
                  line.size(),
                  "%-6s %-8s floods: total goodput %.3f, refusal p99 %.2f ms, most %.2f ms",
                  std::string(name).c_str(),
                  std::string(Names[floodingKind]).c_str(),
                  after.goodput(),
                  1000 * percentile(after.refusalTimes, 0.99),
                  1000 * percentile(after.refusalTimes, 1));
    report.writeLine(line.data());
    report.add(before);
    report.add(after);
}

} // namespace

void runFloodCase(bench_report &report, std::uint64_t seed)
{
    report.writeLine(
        "(b) one kind floods at 10x capacity, through all entries or (fair1) through one; targets for the others: goodput kept >= 0.95, p99 <= 2x");
    sim_setup setup;
    setup.seed = seed;
    for (const std::size_t floodingKind : {sim_setup::Kinds - 1, std::size_t{0}}) {
        setup.fifo = false;
        printFloodComparison(report, setup, "fair", floodingKind, false);
        printFloodComparison(report, setup, "fair1", floodingKind, true);
        setup.fifo = true;
        printFloodComparison(report, setup, "fifo", floodingKind, false);
    }
}

} // namespace teaselward
