#pragma once

#include <algorithm>
#include <chrono>
#include <random>

namespace teaselward
{

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
        : m_first(std::min(first, limit))
        , m_step(m_first)
        , m_limit(limit)
    {
    }

    /**
     * Draws a delay between the half and the step of the present step, and doubles the step.
     * @param random source of the jitter
     * @return the delay; never zero, so that a timer does not fire without a break
     */
    template<typename Generator>
    std::chrono::milliseconds next(Generator &random)
    {
        const auto step = std::max<std::chrono::milliseconds>(m_step, std::chrono::milliseconds(1));
        m_step = std::min(step * 2, m_limit);
        std::uniform_int_distribution<std::chrono::milliseconds::rep> jitter((step.count() + 1) / 2, step.count());
        return std::chrono::milliseconds(jitter(random));
    }

    /** Starts again from the first delay after a success. */
    void reset()
    {
        m_step = m_first;
    }

private:
    std::chrono::milliseconds m_first;
    std::chrono::milliseconds m_step;
    std::chrono::milliseconds m_limit;
};

} // namespace teaselward
