#pragma once

#include <algorithm>
#include <chrono>
#include <random>

namespace teaselward
{

/** Random numbers of the decisions of an entry; seeded, so that runs repeat. */
using job_random = std::minstd_rand;

/** Growing delays between attempts, with jitter so that many retries don't coincide. */
class backoff
{
public:
    /**
     * Creates the delays.
     * @param first longest first delay
     * @param limit longest delay of all
     */
    backoff(std::chrono::milliseconds first, std::chrono::milliseconds limit)
        : m_next(first)
        , m_limit(limit)
    {
    }

    /**
     * Draws a delay between the half and the whole of the present step, and doubles the step.
     * @param random source of the jitter
     */
    std::chrono::milliseconds next(job_random &random)
    {
        const auto whole = std::max<std::chrono::milliseconds>(m_next, std::chrono::milliseconds(1));
        m_next = std::min(whole * 2, m_limit);
        std::uniform_int_distribution<std::chrono::milliseconds::rep> draw((whole.count() + 1) / 2, whole.count());
        return std::chrono::milliseconds(draw(random));
    }

private:
    std::chrono::milliseconds m_next;
    std::chrono::milliseconds m_limit;
};

} // namespace teaselward
