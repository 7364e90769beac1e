#include "job/startup_wait.h"

#include <algorithm>

namespace teaselward
{

startup_wait::startup_wait(mono_time start, std::chrono::milliseconds length)
    : m_end(start + length)
{
}

bool startup_wait::admitsWithoutEndpoint(bool hasObjective, mono_time now) const
{
    return hasObjective && now < m_end;
}

// A job is never refused earlier than without the wait.
std::optional<std::chrono::milliseconds> startup_wait::startTimeout(const admission_result &admitted, mono_time now) const
{
    if (now >= m_end || !admitted.slack || !admitted.startTimeout) {
        return admitted.startTimeout;
    }
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(m_end - now);
    return std::max(*admitted.startTimeout, std::min(*admitted.slack, left));
}

} // namespace teaselward
