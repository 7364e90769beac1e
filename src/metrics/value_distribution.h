#pragma once

#include <cstdint>
#include <memory>

namespace teaselward
{

namespace detail
{
class value_distribution_private;
}

/**
 * Distribution of numbers with count, sum, mean, maximum and estimated quantiles (extended P-square). Its memory use does not
 * grow with the number of values. Not thread-safe.
 */
class value_distribution
{
public:
    value_distribution();
    ~value_distribution();

    value_distribution(value_distribution &&) noexcept;
    value_distribution &operator=(value_distribution &&) noexcept;

    /**
     * Adds a value.
     * @param value the number
     */
    void add(double value);

    /** @return number of values */
    std::uint64_t count() const;

    /** @return sum of all values */
    double sum() const;

    /** @return mean of all values; zero if there is none */
    double mean() const;

    /** @return largest value; zero if there is none */
    double max() const;

    /**
     * Estimates a quantile. It is exact for up to 64 values.
     * @param probability 0.5, 0.9, 0.99 or 0.999
     * @return the quantile; zero if there is no value
     * @throws std::invalid_argument if the probability is not tracked
     */
    double quantile(double probability) const;

private:
    std::unique_ptr<detail::value_distribution_private> d;
};

} // namespace teaselward
