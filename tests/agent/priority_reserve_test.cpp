#include "agent/priority_reserve.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(priority_reserve_test)

// Guards against an endpoint that has no free CPU for a high-priority kind between two of its jobs.
BOOST_AUTO_TEST_CASE(reservesTheRecentUse)
{
    priority_reserve reserve;
    mono_time now{1h};
    const task_resources needs{.cpuMillis = 4000};
    for (int i = 0; i < 100; ++i) { // One task half of the time.
        reserve.started(needs, now);
        now += 50ms;
        reserve.ended(needs, now);
        now += 50ms;
    }
    BOOST_TEST(reserve.unusedMillis(now) >= 1200U);
    BOOST_TEST(reserve.unusedMillis(now) <= 2000U);
    reserve.started(needs, now);
    BOOST_TEST(reserve.unusedMillis(now) == 0U); // The task uses the reserve itself.
}

// Guards against CPU that stays reserved although there is no more demand.
BOOST_AUTO_TEST_CASE(endsWithTheDemand)
{
    priority_reserve reserve;
    mono_time now{1h};
    reserve.started({.cpuMillis = 8000}, now);
    now += 20s;
    reserve.ended({.cpuMillis = 8000}, now);
    BOOST_TEST(reserve.unusedMillis(now) >= 6000U);
    BOOST_TEST(reserve.unusedMillis(now + 10s) <= 100U);
}

BOOST_AUTO_TEST_SUITE_END()
