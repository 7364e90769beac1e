#include "share/deadline_forecast.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(deadline_forecast_test)

// Guards against hopeless jobs that hold slots until their deadline while others are refused.
BOOST_AUTO_TEST_CASE(findsJobsThatRunFarTooLong)
{
    BOOST_TEST(missesDeadline(850ms, 5300ms, 1500ms));
    BOOST_TEST(missesDeadline(850ms, 4000ms, 1500ms));
}

// Guards against a refusal of jobs whose declared run time is only somewhat too long: every third is off by half.
BOOST_AUTO_TEST_CASE(trustsDeclaredTimesOnlyInPart)
{
    BOOST_TEST(!missesDeadline(850ms, 2000ms, 1500ms));
    BOOST_TEST(!missesDeadline(60ms, 5000ms, 1500ms));
    BOOST_TEST(!missesDeadline(3000ms, 1400ms, 1500ms));
    BOOST_TEST(!missesDeadline(850ms, 0ms, 1500ms));
}

BOOST_AUTO_TEST_SUITE_END()
