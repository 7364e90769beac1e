#include "platform/jittered_backoff.h"

#include <algorithm>

namespace teaselward
{

namespace
{

constexpr int FirstDelayDivisor = 20;

std::chrono::milliseconds firstDelay(std::chrono::milliseconds limit)
{
    return std::max(limit / FirstDelayDivisor, std::chrono::milliseconds(1));
}

} // namespace

jittered_backoff::jittered_backoff(std::chrono::milliseconds limit, std::uint64_t seed)
    : m_limit(limit)
    , m_delay(firstDelay(limit))
    , m_random(seed)
{
}

std::chrono::milliseconds jittered_backoff::next()
{
    std::uniform_int_distribution<std::chrono::milliseconds::rep> spread(m_delay.count() / 2, m_delay.count());
    const std::chrono::milliseconds delay(spread(m_random));
    m_delay = std::min(m_delay * 2, m_limit);
    return delay;
}

void jittered_backoff::reset()
{
    m_delay = firstDelay(m_limit);
}

} // namespace teaselward
