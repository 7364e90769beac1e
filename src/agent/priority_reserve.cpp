#include "agent/priority_reserve.h"

#include <algorithm>
#include <cmath>

namespace teaselward
{

namespace
{

// Bursts last a few seconds, and the reserve of a kind without demand must end as soon.
constexpr std::chrono::duration<double> Span{2.0};

// Fraction of the average use that stays free. Less delays urgent jobs; more costs other jobs more than it gains for urgent
// ones.
constexpr double ReservedPart = 0.8;

} // namespace

void priority_reserve::started(const task_resources &needs, mono_time now)
{
    observe(now);
    m_used += needs.cpuMillis;
}

void priority_reserve::ended(const task_resources &needs, mono_time now)
{
    observe(now);
    m_used -= std::min(m_used, needs.cpuMillis);
}

std::uint32_t priority_reserve::unusedMillis(mono_time now)
{
    observe(now);
    const auto wanted = static_cast<std::uint32_t>(ReservedPart * m_average);
    return wanted - std::min(wanted, m_used);
}

void priority_reserve::observe(mono_time now)
{
    const double elapsed = std::chrono::duration<double>(now - m_last) / Span;
    m_average += (1 - std::exp(-elapsed)) * (m_used - m_average);
    m_last = now;
}

} // namespace teaselward
