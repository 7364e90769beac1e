#include "share/run_time_estimate.h"

#include <algorithm>

namespace teaselward
{

namespace
{

constexpr double SampleWeight = 1.0 / 128; // Low enough that one task of several seconds hardly changes the mean.
constexpr std::uint64_t MinReliableCount = 16;

} // namespace

void run_time_estimate::add(std::chrono::microseconds runTime)
{
    ++m_count;
    const double seconds = std::chrono::duration<double>(runTime).count();
    m_mean += std::max(SampleWeight, 1.0 / static_cast<double>(m_count)) * (seconds - m_mean);
}

bool run_time_estimate::isReliable() const
{
    return m_count >= MinReliableCount;
}

} // namespace teaselward
