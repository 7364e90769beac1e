#include "share/service_estimate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace teaselward
{

namespace
{

// The slots of a kind fluctuate with its long tasks; the current number alone misjudges the wait by half.
constexpr double AveragingSeconds = 5;
constexpr double MinObservedSeconds = 0.5;

} // namespace

// Without a backlog the slots in use show the demand of the kind rather than the slots that it can get, so the average restarts.
void service_estimate::observe(double slots, bool backlogged, mono_time now)
{
    const double elapsed = std::chrono::duration<double>(now - m_lastUpdate).count();
    m_lastUpdate = now;
    if (!backlogged) {
        m_observedSeconds = 0;
        return;
    }
    m_observedSeconds += elapsed;
    const double weight = elapsed / std::min(AveragingSeconds, std::max(m_observedSeconds, elapsed));
    m_average += (elapsed > 0 ? std::min(1.0, weight) : 0) * (slots - m_average);
}

double service_estimate::slots(double started, double expected) const
{
    return std::max({m_observedSeconds >= MinObservedSeconds ? m_average : started, expected, 1.0});
}

} // namespace teaselward
