#include "base/backoff.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace teaselward;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(backoff_test)

// Guards against retries at a fixed interval, which would overload an agent that is already slow.
BOOST_AUTO_TEST_CASE(delaysGrowUpToTheLimit)
{
    std::minstd_rand random(1);
    backoff delays(100ms, 400ms);
    const auto isWithin = [&](std::chrono::milliseconds fullStep) {
        const auto delay = delays.next(random);
        return delay >= fullStep / 2 && delay <= fullStep;
    };
    BOOST_TEST(isWithin(100ms));
    BOOST_TEST(isWithin(200ms));
    BOOST_TEST(isWithin(400ms));
    BOOST_TEST(isWithin(400ms));
    delays.reset();
    BOOST_TEST(isWithin(100ms));
}

// Guards against many retries at the same time.
BOOST_AUTO_TEST_CASE(delaysDiffer)
{
    std::minstd_rand random(1);
    std::set<std::chrono::milliseconds> delays;
    for (int i = 0; i < 20; ++i) {
        delays.insert(backoff(100ms, 400ms).next(random));
    }
    BOOST_TEST(delays.size() > 10U);
}

// Guards against a delay of zero, which would turn a retry timer into a busy loop.
BOOST_AUTO_TEST_CASE(noDelayIsZero)
{
    std::minstd_rand random(1);
    BOOST_TEST(backoff(0ms, 0ms).next(random).count() > 0);
}

BOOST_AUTO_TEST_SUITE_END()
