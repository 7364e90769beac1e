#include "agent/priority_reserve.h"

#include <algorithm>
#include <cmath>

namespace teaselward
{

namespace
{

// Bursts last a few seconds, and the reserve of a kind without demand must end as soon.
constexpr std::chrono::duration<double> AveragingTime{2.0};

// Fraction of the average use that stays free. Less delays urgent jobs; more costs other jobs more than it gains for urgent
// ones.
constexpr double ReservedFraction = 0.8;

} // namespace

void priority_reserve::started(const task_resources &needs, mono_time now)
{
    update(now);
    m_used += needs.cpuMillis;
}

void priority_reserve::ended(const task_resources &needs, mono_time now)
{
    update(now);
    m_used -= std::min(m_used, needs.cpuMillis);
}

std::uint32_t priority_reserve::unusedMillis(mono_time now)
{
    update(now);
    const auto reserved = static_cast<std::uint32_t>(ReservedFraction * m_average);
    return reserved - std::min(reserved, m_used);
}

void priority_reserve::update(mono_time now)
{
    const double elapsed = std::chrono::duration<double>(now - m_lastUpdate) / AveragingTime;
    m_average += (1 - std::exp(-elapsed)) * (m_used - m_average);
    m_lastUpdate = now;
}

} // namespace teaselward
