#include "sim/entry_share_case.h"

#include "sim/bench_variants.h"
#include "sim/percentile.h"
#include "sim/sim_cluster.h"

#include <array>
#include <cstdio>
#include <string>

namespace teaselward
{

namespace
{

constexpr std::size_t StartSecond = 20;
constexpr std::size_t FaultStartSecond = 60;
constexpr std::size_t FaultEndSecond = 100;
constexpr std::size_t EndSecond = 140;
constexpr std::size_t SettlingSeconds = 10; // Left out after each change of connectivity.

std::string formatShares(const sim_stats &stats, std::size_t from, std::size_t to)
{
    std::string text;
    for (std::size_t entry = 0; entry < 3; ++entry) {
        std::array<char, 20> number{};
        std::snprintf(number.data(), number.size(), "%6.3f", stats.slotShare(entry, from, to));
        text += number.data();
    }
    return text;
}

void runUnevenDemand(bench_report &report, sim_setup setup, std::string_view name, double load)
{
    setup.entryShares = {80, 15, 5};
    setup.load.fill(load / sim_setup::Kinds);
    sim_cluster cluster(setup);
    const sim_stats &stats = cluster.run();
    std::array<char, 200> line{};
    std::snprintf(line.data(),
                  line.size(),
                  "%-22s demand 80/15/5 at load %.1f: slots%s  goodput %.3f  job p50 %.3f p99 %.3f  wasted %.4f",
                  std::string(name).c_str(),
                  load,
                  formatShares(stats, StartSecond, EndSecond).c_str(),
                  stats.goodput(),
                  percentile(stats.jobRatios, 0.5),
                  percentile(stats.jobRatios, 0.99),
                  stats.wastedMessagesPerTask());
    report.writeLine(line.data());
    report.add(stats);
}

} // namespace

void runEntryShareCase(bench_report &report, std::uint64_t seed)
{
    report.writeLine("(e) part of all slots that each of the three entries uses");
    sim_setup setup;
    setup.seed = seed;
    setup.duration = std::chrono::seconds(EndSecond);
    for (const bench_variant &variant : BenchVariants) {
        setup.strategy = variant.strategy;
        setup.creditPolicy = variant.creditPolicy;
        runUnevenDemand(report, setup, variant.name, 0.7);
        runUnevenDemand(report, setup, variant.name, 2.0);
    }
    setup.strategy = BenchVariants.front().strategy;
    setup.creditPolicy = BenchVariants.front().creditPolicy;
    setup.load.fill(0.6);
    setup.disconnectedEntry = 2;
    setup.faultStart = std::chrono::seconds(FaultStartSecond);
    setup.faultEnd = std::chrono::seconds(FaultEndSecond);
    sim_cluster cluster(setup);
    const sim_stats &stats = cluster.run();
    report.writeLine("third entry cut off, load 1.8: slots before" + formatShares(stats, StartSecond, FaultStartSecond) + "  meanwhile"
                     + formatShares(stats, FaultStartSecond + SettlingSeconds, FaultEndSecond) + "  after"
                     + formatShares(stats, FaultEndSecond + SettlingSeconds, EndSecond));
    report.add(stats);
}

} // namespace teaselward
