#include "agent/run_time_factor.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace teaselward
{

namespace
{

using std::chrono::milliseconds;

// Runs that are expected to take at least this long have the weight 1. Shorter ones have the square of the fraction: a run of 50 ms counts a
// sixteenth, since some milliseconds for messages and the start of the process change its ratio by a tenth.
constexpr milliseconds FullWeightRun{200};

// Time in which the weight of a run falls to 1/e. At 35 runs/s with a spread of 0.45 the standard error of the logarithm is 0.06, and a
// change of the endpoint shows within a few seconds.
constexpr std::chrono::duration<double> Memory{4};

// Ratios that differ more from the factor (log scale) count as if they differed by this much. The logarithms of the ratios spread by 0.45.
constexpr double MaxDeviation = 1;

// First value: the weighted median, once there are this many runs of this total weight. Its standard error is 0.16, so that a usual endpoint
// rarely starts beyond 1.76. A kind with short runs only needs the larger number.
constexpr std::size_t MinFirstRuns = 12;
constexpr std::size_t MaxFirstRuns = 64;
constexpr double MinFirstWeight = 6;

// The weight of the history after an idle time, so that one run does not replace it.
constexpr double MinWeight = 3;

const double MaxLogRatio = std::log(100.0); // Larger ratios are errors of the clock or of the expected run time.

double weightedMedian(std::vector<std::pair<double, double>> samples, double total)
{
    std::ranges::sort(samples);
    double sum = 0;
    for (const auto &[ratio, weight] : samples) {
        sum += weight;
        if (sum >= total / 2) {
            return ratio;
        }
    }
    return samples.back().first;
}

} // namespace

void run_time_factor::add(std::chrono::microseconds runTime, std::chrono::microseconds expected, mono_time now)
{
    if (runTime.count() <= 0 || expected.count() <= 0) {
        return;
    }
    const double ratio = std::log(static_cast<double>(runTime.count()) / static_cast<double>(expected.count()));
    const double length = std::min(1.0, std::chrono::duration<double>(expected) / std::chrono::duration<double>(FullWeightRun));
    const sample one{std::clamp(ratio, -MaxLogRatio, MaxLogRatio), length * length};
    const std::chrono::duration<double> idle = now - m_updated;
    m_updated = now;
    if (m_weight == 0) {
        addFirst(one);
        return;
    }
    m_weight = std::max(MinWeight, m_weight * std::exp(-std::max(0.0, idle / Memory))) + one.second;
    const double deviation = std::clamp(one.first - m_logFactor, -MaxDeviation, MaxDeviation);
    m_logFactor += deviation * one.second / m_weight;
}

// The median of the first runs is not affected by an outlier among them, unlike a mean that starts with one.
void run_time_factor::addFirst(sample one)
{
    m_first.push_back(one);
    double total = 0;
    for (const sample &first : m_first) {
        total += first.second;
    }
    const bool isEnough = m_first.size() >= MinFirstRuns && total >= MinFirstWeight;
    if (isEnough || m_first.size() >= MaxFirstRuns) {
        m_logFactor = weightedMedian(std::move(m_first), total);
        m_weight = std::max(MinWeight, total);
        m_first = {};
    }
}

double run_time_factor::value() const
{
    return m_weight == 0 ? 0 : std::exp(m_logFactor);
}

} // namespace teaselward
