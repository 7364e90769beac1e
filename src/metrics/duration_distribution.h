#pragma once

#include "metrics/value_distribution.h"

#include <chrono>
#include <cstdint>

namespace teaselward
{

/** Distribution of durations, based on value_distribution. */
class duration_distribution
{
public:
    /**
     * Adds a value.
     * @param value the duration
     */
    void add(std::chrono::microseconds value);

    /** @return number of values */
    std::uint64_t count() const;

    /** @return sum of all values */
    std::chrono::microseconds sum() const;

    /** @return mean of all values; zero if there is none */
    std::chrono::microseconds mean() const;

    /** @return largest value; zero if there is none */
    std::chrono::microseconds max() const;

    /**
     * Estimates a quantile. It is exact for up to 64 values.
     * @param probability 0.5, 0.9, 0.99 or 0.999
     * @return the quantile; zero if there is no value
     * @throws std::invalid_argument if the probability is not tracked
     */
    std::chrono::microseconds quantile(double probability) const;

private:
    value_distribution m_values;
};

} // namespace teaselward
