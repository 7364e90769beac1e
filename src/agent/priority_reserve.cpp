#include "agent/priority_reserve.h"

#include <algorithm>
#include <cmath>

namespace teaselward
{

namespace
{

// Span of the average: a burst lasts some seconds, and the reserve of a kind that is no longer asked for ends as soon.
constexpr std::chrono::duration<double> Span{2.0};

// Part of the average that is kept free. In a replay at nine tenths of the capacity, 0.5 answers 624 of 670 urgent jobs in time and
// 1826 of 2020 others, 0.8 answers 639 and 1799, 1.2 answers 640 and 1724.
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
