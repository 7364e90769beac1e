#include "member/reconnect_delay.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <set>

using namespace teaselward;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(reconnect_delay_test)

// Guards against delays that grow beyond the limit, so that a returning entry would wait long for its agents.
BOOST_AUTO_TEST_CASE(growsUpToTheLimit)
{
    reconnect_delay delay(50ms, 2s, 1);
    std::chrono::milliseconds step = 50ms;
    for (int failure = 0; failure < 20; ++failure) {
        const auto next = delay.next();
        BOOST_TEST((next >= step / 2));
        BOOST_TEST((next <= step));
        step = std::min<std::chrono::milliseconds>(step * 2, 2s);
    }
    delay.reset();
    BOOST_TEST((delay.next() <= 50ms));
}

// Guards against agents that lost the same entry and all return at the same instant.
BOOST_AUTO_TEST_CASE(differsBetweenSeeds)
{
    std::set<std::chrono::milliseconds> delays;
    for (std::uint64_t seed = 0; seed < 50; ++seed) {
        reconnect_delay delay(1s, 2s, seed);
        delays.insert(delay.next());
    }
    BOOST_TEST(delays.size() > 25U);
}

BOOST_AUTO_TEST_SUITE_END()
