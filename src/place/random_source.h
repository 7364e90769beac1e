#pragma once

#include <cstdint>

namespace teaselward
{

/** Pseudo-random numbers with the same sequence on every machine (splitmix64). */
class random_source
{
public:
    /**
     * Creates a generator.
     * @param seed seed of the sequence
     */
    explicit random_source(std::uint64_t seed)
        : m_state(seed)
    {
    }

    /** @return the next number of the sequence */
    std::uint64_t next()
    {
        m_state += 0x9e3779b97f4a7c15U;
        std::uint64_t value = m_state;
        value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
        value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
        return value ^ (value >> 31U);
    }

    /**
     * Returns a random number below a bound.
     * @param bound exclusive upper bound; not zero
     */
    std::uint64_t below(std::uint64_t bound)
    {
        return next() % bound;
    }

    /** @return a random number in (0, 1] */
    double fraction()
    {
        return (static_cast<double>(next() >> 11U) + 1.0) / 9007199254740992.0;
    }

private:
    std::uint64_t m_state;
};

} // namespace teaselward
