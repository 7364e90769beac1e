#include "metrics/value_distribution.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <stdexcept>
#include <vector>

namespace teaselward
{

namespace
{

namespace acc = boost::accumulators;

using accumulator = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::mean, acc::tag::max, acc::tag::extended_p_square>>;

// Probabilities tracked by the estimator. Those between the exported quantiles make the estimates more accurate.
constexpr std::array Probabilities = {0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999, 0.9995};

// Up to this number of values, quantiles are computed from the values themselves: the estimator gives no usable quantiles
// before it has seen a few times as many values as it has markers (two for each probability plus three).
constexpr std::size_t ExactLimit = 64;

} // namespace

namespace detail
{

class value_distribution_private
{
public:
    accumulator values{acc::extended_p_square_probabilities = Probabilities};
    std::vector<double> firstValues; ///< The first values, up to ExactLimit.
};

} // namespace detail

value_distribution::value_distribution()
    : d(std::make_unique<detail::value_distribution_private>())
{
}

value_distribution::~value_distribution() = default;
value_distribution::value_distribution(value_distribution &&) noexcept = default;
value_distribution &value_distribution::operator=(value_distribution &&) noexcept = default;

void value_distribution::add(double value)
{
    d->values(value);
    if (d->firstValues.size() < ExactLimit) {
        d->firstValues.push_back(value);
    }
}

std::uint64_t value_distribution::count() const
{
    return acc::count(d->values);
}

double value_distribution::sum() const
{
    return acc::sum(d->values);
}

double value_distribution::mean() const
{
    return count() > 0 ? acc::mean(d->values) : 0;
}

double value_distribution::max() const
{
    return count() > 0 ? acc::max(d->values) : 0;
}

double value_distribution::quantile(double probability) const
{
    const auto *found = std::find(Probabilities.begin(), Probabilities.end(), probability);
    if (found == Probabilities.end()) {
        throw std::invalid_argument("no quantile is tracked for this probability");
    }
    if (count() == 0) {
        return 0;
    }
    if (count() > ExactLimit) {
        return acc::extended_p_square(d->values)[std::distance(Probabilities.begin(), found)];
    }
    std::vector<double> sorted = d->firstValues;
    std::sort(sorted.begin(), sorted.end());
    const auto rank = static_cast<std::size_t>(std::ceil(probability * static_cast<double>(sorted.size())));
    return sorted[std::max<std::size_t>(rank, 1) - 1];
}

} // namespace teaselward
