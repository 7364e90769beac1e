#pragma once

#include <algorithm>
#include <chrono>
#include <random>

namespace teaselward
{

/** Exponential backoff with jitter, so that the retries of many clients don't coincide. */
class backoff
{
public:
    /**
     * Creates a backoff that begins with the first delay.
     * @param first upper bound of the first delay
     * @param limit upper bound of all delays
     */
    backoff(std::chrono::milliseconds first, std::chrono::milliseconds limit)
        : m_first(std::min(first, limit))
        , m_step(m_first)
        , m_limit(limit)
    {
    }

    /**
     * Draws a random delay between half of the current step and the full step, then doubles the step.
     * @param random random number generator
     * @return the delay; at least 1 ms, so that a retry timer never turns into a busy loop
     */
    template<typename Generator>
    std::chrono::milliseconds next(Generator &random)
    {
        const auto step = std::max<std::chrono::milliseconds>(m_step, std::chrono::milliseconds(1));
        m_step = std::min(step * 2, m_limit);
        std::uniform_int_distribution<std::chrono::milliseconds::rep> jitter((step.count() + 1) / 2, step.count());
        return std::chrono::milliseconds(jitter(random));
    }

    /** Returns to the first delay. To be called after a success. */
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
