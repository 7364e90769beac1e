#include "sim/sim_workload.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>
#include <numeric>

namespace teaselward
{

namespace
{

constexpr double MedianSeconds = 0.224; // Geometric mean of 50 ms and 1 s.
constexpr double Sigma = 0.764; // 95 % of the run times lie between 50 ms and 1 s.
constexpr double LongTaskFraction = 0.01;
constexpr double LongTaskMinSeconds = 2.0;
constexpr double LongTaskMaxSeconds = 6.0;
constexpr std::array<double, sim_setup::Kinds> RunTimeScale = {0.7, 1.0, 1.3}; // Run time of each kind relative to the middle one.
constexpr std::uint64_t MaxTasks = 20;
constexpr std::uint64_t Teams = 4;
constexpr double MeanTasks = (1.0 + MaxTasks) / 2;
constexpr std::uint64_t WorkloadSeedOffset = 0x776f726b; // Makes the workload independent of the random numbers of the placement strategies.

} // namespace

sim_workload::sim_workload(const sim_setup &setup)
    : m_setup(setup)
{
}

// Uses the Box-Muller transform, because std::normal_distribution gives different values in different standard libraries.
std::chrono::microseconds sim_workload::runTime(std::size_t kind, random_source &random) const
{
    double seconds = 0;
    if (random.fraction() <= LongTaskFraction) {
        seconds = LongTaskMinSeconds + (LongTaskMaxSeconds - LongTaskMinSeconds) * random.fraction();
    } else {
        const double radius = std::sqrt(-2 * std::log(random.fraction()));
        const double normal = radius * std::cos(2 * std::numbers::pi * random.fraction());
        seconds = MedianSeconds * RunTimeScale[kind] * std::exp(Sigma * normal);
    }
    return std::chrono::microseconds(static_cast<std::int64_t>(seconds * 1e6));
}

double sim_workload::meanRunTime(std::size_t kind) const
{
    const double logNormal = MedianSeconds * RunTimeScale[kind] * std::exp(Sigma * Sigma / 2);
    return (1 - LongTaskFraction) * logNormal + LongTaskFraction * (LongTaskMinSeconds + LongTaskMaxSeconds) / 2;
}

std::size_t sim_workload::drawEntry(random_source &random) const
{
    const auto &shares = m_setup.entryShares;
    double remaining = random.fraction() * std::accumulate(shares.begin(), shares.end(), 0.0);
    for (std::size_t entry = 0; entry < shares.size(); ++entry) {
        remaining -= shares[entry];
        if (remaining <= 0) {
            return entry;
        }
    }
    return shares.size() - 1;
}

// Each kind has its own random sequence, so that a flood of one kind doesn't change the jobs of the others.
std::vector<sim_job> sim_workload::jobs()
{
    std::vector<sim_job> all;
    const double capacity = static_cast<double>(m_setup.workers) * m_setup.slots;
    for (std::size_t kind = 0; kind < sim_setup::Kinds; ++kind) {
        if (m_setup.load[kind] <= 0) {
            continue;
        }
        random_source random(m_setup.seed * sim_setup::Kinds + kind + WorkloadSeedOffset);
        const double meanGapSeconds = meanRunTime(kind) * MeanTasks / (m_setup.load[kind] * capacity);
        double sent = 0;
        while ((sent -= meanGapSeconds * std::log(random.fraction())) < static_cast<double>(m_setup.duration.count())) {
            sim_job &job = all.emplace_back();
            job.kind = kind;
            job.team = random.below(Teams);
            const std::size_t drawn = drawEntry(random);
            job.entry = kind == m_setup.singleEntryKind ? 0 : drawn;
            job.sent = mono_time(std::chrono::microseconds(static_cast<std::int64_t>(sent * 1e6)));
            const std::uint64_t tasks = 1 + random.below(MaxTasks);
            for (std::uint64_t task = 0; task < tasks; ++task) {
                job.runTimes.push_back(runTime(kind, random));
            }
            job.unfinished = tasks;
        }
    }
    std::stable_sort(all.begin(), all.end(), [](const sim_job &left, const sim_job &right) {
        return left.sent < right.sent;
    });
    for (std::size_t number = 0; number < all.size(); ++number) {
        all[number].number = number;
    }
    return all;
}

} // namespace teaselward
