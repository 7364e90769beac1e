#pragma once

#include <chrono>
#include <random>

namespace teaselward
{

/** Delays between the attempts to reach the platform log. They double up to a limit and are spread at random. */
class jittered_backoff
{
public:
    /**
     * Creates a backoff that starts at a twentieth of its limit.
     * @param limit longest delay
     * @param seed seed of the random spread
     */
    jittered_backoff(std::chrono::milliseconds limit, std::uint64_t seed);

    /** @return the next delay, from half of the present one up to the whole */
    std::chrono::milliseconds next();

    /** Starts again with short delays, after a success. */
    void reset();

private:
    std::chrono::milliseconds m_limit;
    std::chrono::milliseconds m_delay;
    std::mt19937_64 m_random;
};

} // namespace teaselward
