#include "member/reconnect_delay.h"

#include <algorithm>

namespace teaselward
{

reconnect_delay::reconnect_delay(std::chrono::milliseconds first, std::chrono::milliseconds limit, std::uint64_t seed)
    : m_first(first)
    , m_limit(limit)
    , m_step(std::min(first, limit))
    , m_random(seed)
{
}

std::chrono::milliseconds reconnect_delay::next()
{
    std::uniform_int_distribution<std::chrono::milliseconds::rep> jitter(m_step.count() / 2, m_step.count());
    const std::chrono::milliseconds delay(jitter(m_random));
    m_step = std::min(m_step * 2, m_limit);
    return delay;
}

void reconnect_delay::reset()
{
    m_step = std::min(m_first, m_limit);
}

} // namespace teaselward
