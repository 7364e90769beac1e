#include "metrics/duration_distribution.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>
#include <stdexcept>
#include <vector>

using namespace teaselward;
using std::chrono::microseconds;

BOOST_AUTO_TEST_SUITE(duration_distribution_test)

// Guards against undefined or nonzero statistics of an empty distribution.
BOOST_AUTO_TEST_CASE(isZeroWithoutValues)
{
    const duration_distribution times;
    BOOST_TEST(times.count() == 0);
    BOOST_TEST((times.mean() == microseconds(0)));
    BOOST_TEST((times.max() == microseconds(0)));
    BOOST_TEST((times.quantile(0.99) == microseconds(0)));
}

// Guards against use of the estimator for a few values, for which its quantiles are unusable.
BOOST_AUTO_TEST_CASE(isExactForFewValues)
{
    duration_distribution times;
    for (int i = 10; i >= 1; --i) {
        times.add(microseconds(i * 100));
    }
    BOOST_TEST(times.count() == 10);
    BOOST_TEST((times.sum() == microseconds(5500)));
    BOOST_TEST((times.mean() == microseconds(550)));
    BOOST_TEST((times.max() == microseconds(1000)));
    BOOST_TEST((times.quantile(0.5) == microseconds(500)));
    BOOST_TEST((times.quantile(0.9) == microseconds(900)));
    BOOST_TEST((times.quantile(0.99) == microseconds(1000)));
}

// Guards against inaccurate estimates for run times distributed as in the workload.
BOOST_AUTO_TEST_CASE(estimatesQuantilesOfManyValues)
{
    std::mt19937 random(7);
    std::lognormal_distribution<double> runTime(12, 0.7);
    duration_distribution times;
    std::vector<double> values;
    for (int i = 0; i < 50000; ++i) {
        values.push_back(runTime(random));
        times.add(microseconds(static_cast<std::int64_t>(values.back())));
    }
    std::sort(values.begin(), values.end());
    for (const double probability : {0.5, 0.9, 0.99, 0.999}) {
        const double exact = values[static_cast<std::size_t>(probability * 50000)];
        BOOST_TEST(static_cast<double>(times.quantile(probability).count()) == exact, boost::test_tools::tolerance(0.05));
    }
    BOOST_CHECK_THROW(times.quantile(0.123), std::invalid_argument);
}

BOOST_AUTO_TEST_SUITE_END()
