#include "share/expected_run.h"

#include <algorithm>
#include <cmath>

namespace teaselward
{

namespace
{

// Low enough that the expected run times hardly fluctuate (0.03 at a spread of 0.5), because all factors would fluctuate with them.
constexpr double SampleWeight = 1.0 / 256;

constexpr std::uint64_t MinRuns = 8; // Before, a declared run time is taken as it is, and a kind without one is unknown.

// A single run changes the averages by no more than one of 20 times the declared or usual run time.
const double MaxDeviation = std::log(20.0);

} // namespace

void expected_run::average::add(double value)
{
    ++count;
    const double deviation = count == 1 ? value - mean : std::clamp(value - mean, -MaxDeviation, MaxDeviation);
    mean += std::max(SampleWeight, 1.0 / static_cast<double>(count)) * deviation;
}

void expected_run::add(std::chrono::milliseconds declared, std::chrono::microseconds runTime, double factor)
{
    if (runTime.count() <= 0 || factor <= 0) {
        return;
    }
    const double usual = std::log(static_cast<double>(runTime.count())) - std::log(factor);
    m_usual.add(usual);
    if (declared.count() > 0) {
        m_declaredError.add(usual - std::log(static_cast<double>(std::chrono::microseconds(declared).count())));
    }
}

std::chrono::microseconds expected_run::expect(std::chrono::milliseconds declared) const
{
    double value = 0;
    if (declared.count() > 0) {
        value = static_cast<double>(std::chrono::microseconds(declared).count());
        value *= m_declaredError.count < MinRuns ? 1 : std::exp(m_declaredError.mean);
    } else if (m_usual.count >= MinRuns) {
        value = std::exp(m_usual.mean);
    }
    return std::chrono::microseconds(static_cast<std::int64_t>(value));
}

} // namespace teaselward
