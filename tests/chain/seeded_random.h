#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace teaselward
{

/** Random decisions of a simulation that are repeated exactly by the same seed. */
class seeded_random
{
public:
    /**
     * Creates the generator.
     * @param seed seed of the generator
     */
    explicit seeded_random(std::uint32_t seed)
        : m_engine(seed)
    {
    }

    /**
     * Draws a duration.
     * @param least shortest duration
     * @param most longest duration
     * @return the duration, uniformly distributed
     */
    std::chrono::microseconds between(std::chrono::microseconds least, std::chrono::microseconds most)
    {
        return std::chrono::microseconds(std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(m_engine));
    }

    /**
     * Draws a position.
     * @param size number of positions
     * @return a position below the size
     */
    std::size_t below(std::size_t size)
    {
        return std::uniform_int_distribution<std::size_t>(0, size - 1)(m_engine);
    }

    /**
     * Decides whether something happens.
     * @param probability its probability
     * @return whether it happens
     */
    bool chance(double probability)
    {
        return std::bernoulli_distribution(probability)(m_engine);
    }

private:
    std::mt19937 m_engine;
};

} // namespace teaselward
