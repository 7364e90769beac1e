#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace teaselward
{

/** Exponential backoff with jitter, so that many processes do not return at the same instant. */
class reconnect_delay
{
public:
    /**
     * Creates a backoff without failures.
     * @param first upper end of the first delay
     * @param limit upper end of the longest delay
     * @param seed seed of the jitter
     */
    reconnect_delay(std::chrono::milliseconds first, std::chrono::milliseconds limit, std::uint64_t seed);

    /** @return delay after a further failure: uniform between half of the present step and the whole of it */
    std::chrono::milliseconds next();

    /** Starts again from the first delay after a success. */
    void reset();

private:
    std::chrono::milliseconds m_first;
    std::chrono::milliseconds m_limit;
    std::chrono::milliseconds m_step;
    std::mt19937_64 m_random;
};

} // namespace teaselward
