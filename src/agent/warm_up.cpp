#include "agent/warm_up.h"

#include <algorithm>
#include <cmath>

namespace teaselward
{

warm_up::warm_up(mono_time since, mono_time warmAt)
    : m_since(since)
    , m_warmAt(warmAt)
    , m_lastStep(step(since))
{
}

void warm_up::update(mono_time warmAt, mono_time now)
{
    if (step(now) == Steps) {
        m_since = now;
    }
    m_warmAt = warmAt;
}

// Rounds down, so that no more is granted than the elapsed time allows.
int warm_up::step(mono_time now) const
{
    if (now >= m_warmAt || m_warmAt <= m_since) {
        return Steps;
    }
    return static_cast<int>(Steps * std::max(mono_clock::duration::zero(), now - m_since) / (m_warmAt - m_since));
}

double warm_up::part(mono_time now) const
{
    return FirstPart + (1 - FirstPart) * step(now) / Steps;
}

std::uint32_t warm_up::slots(std::uint32_t slots, mono_time now) const
{
    return std::min(slots, std::max(1U, static_cast<std::uint32_t>(std::ceil(slots * part(now)))));
}

bool warm_up::hasChanged(mono_time now)
{
    const int current = step(now);
    const bool changed = current != m_lastStep;
    m_lastStep = current;
    return changed;
}

mono_time warm_up::nextDue(mono_time now) const
{
    const int current = step(now);
    // Rounded up by one unit of the clock, so that the step has been reached at that time.
    return current == Steps ? mono_time::max() : m_since + (m_warmAt - m_since) * (current + 1) / Steps + mono_clock::duration(1);
}

} // namespace teaselward
