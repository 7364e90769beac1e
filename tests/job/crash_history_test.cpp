#include "job/crash_history.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(crash_history_test)

// Guards against a task that crashes endpoint after endpoint.
BOOST_AUTO_TEST_CASE(twoCrashesAtTheSameAgeExhaustATask)
{
    crash_history crashes;
    BOOST_TEST(!crashes.isSuspect());
    crashes.add(12ms);
    BOOST_TEST(crashes.isSuspect());
    BOOST_TEST(!crashes.isExhausted());
    BOOST_TEST((crashes.lastAge() == 12ms));
    crashes.add(19ms);
    BOOST_TEST(crashes.isExhausted());
}

// Guards against a healthy task that is given up because two endpoints crashed for other reasons while they ran it.
BOOST_AUTO_TEST_CASE(crashesAtDifferentAgesExhaustATaskAtTheThird)
{
    crash_history crashes;
    crashes.add(12ms);
    crashes.add(700ms);
    BOOST_TEST(!crashes.isExhausted());
    crashes.add(300ms);
    BOOST_TEST(crashes.isExhausted());
}

// Guards against long runs whose ages differ only by the speed of the endpoints.
BOOST_AUTO_TEST_CASE(agesOfLongRunsMayDifferByAQuarter)
{
    crash_history crashes;
    crashes.add(1000ms);
    crashes.add(800ms);
    BOOST_TEST(crashes.isExhausted());
}

BOOST_AUTO_TEST_SUITE_END()
