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

constexpr std::size_t Start = 20;
constexpr std::size_t FaultAt = 60;
constexpr std::size_t FaultEnd = 100;
constexpr std::size_t End = 140;
constexpr std::size_t Settling = 10; // Seconds after a change that are left out.

std::string shares(const sim_measures &measures, std::size_t from, std::size_t to)
{
    std::string text;
    for (std::size_t entry = 0; entry < 3; ++entry) {
        std::array<char, 20> number{};
        std::snprintf(number.data(), number.size(), "%6.3f", measures.slotShare(entry, from, to));
        text += number.data();
    }
    return text;
}

void runUneven(bench_report &report, sim_setup setup, std::string_view name, double load)
{
    setup.entryShares = {80, 15, 5};
    setup.load.fill(load / sim_setup::Kinds);
    sim_cluster cluster(setup);
    const sim_measures &measures = cluster.run();
    std::array<char, 200> line{};
    std::snprintf(line.data(),
                  line.size(),
                  "%-22s demand 80/15/5 at load %.1f: slots%s  goodput %.3f  job p50 %.3f p99 %.3f  wasted %.4f",
                  std::string(name).c_str(),
                  load,
                  shares(measures, Start, End).c_str(),
                  measures.goodput(),
                  percentile(measures.jobRatios, 0.5),
                  percentile(measures.jobRatios, 0.99),
                  measures.wasted());
    report.line(line.data());
    report.add(measures);
}

} // namespace

void runEntryShareCase(bench_report &report, std::uint64_t seed)
{
    report.line("(e) part of all slots that each of the three entries uses");
    sim_setup setup;
    setup.seed = seed;
    setup.length = std::chrono::seconds(End);
    for (const bench_variant &variant : BenchVariants) {
        setup.strategy = variant.strategy;
        setup.creditPolicy = variant.creditPolicy;
        runUneven(report, setup, variant.name, 0.7);
        runUneven(report, setup, variant.name, 2.0);
    }
    setup.strategy = BenchVariants.front().strategy;
    setup.creditPolicy = BenchVariants.front().creditPolicy;
    setup.load.fill(0.6);
    setup.cutOffEntry = 2;
    setup.faultAt = std::chrono::seconds(FaultAt);
    setup.faultEnd = std::chrono::seconds(FaultEnd);
    sim_cluster cluster(setup);
    const sim_measures &measures = cluster.run();
    report.line("third entry cut off, load 1.8: slots before" + shares(measures, Start, FaultAt) + "  meanwhile"
                + shares(measures, FaultAt + Settling, FaultEnd) + "  after" + shares(measures, FaultEnd + Settling, End));
    report.add(measures);
}

} // namespace teaselward
