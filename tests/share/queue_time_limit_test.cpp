#include "share/queue_time_limit.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(queue_time_limit_test)

// Guards against refusals that leave the caller no time for another attempt.
BOOST_AUTO_TEST_CASE(leavesTheCallerMostOfItsTime)
{
    kind_rule rule;
    rule.stretch = 1.6;
    rule.target = 60ms;
    BOOST_TEST((queueTimeLimit(rule, 900ms) == 150ms));
    BOOST_TEST((queueTimeLimit(rule, 10ms) == 20ms));
}

// Guards against a job that still waits when it can no longer meet its objective.
BOOST_AUTO_TEST_CASE(neverExceedsTheSlack)
{
    kind_rule rule;
    rule.stretch = 1.05;
    rule.target = 30ms;
    BOOST_TEST((queueTimeLimit(rule, 1000ms) == 60ms));
    BOOST_TEST(!queueTimeLimit({}, 100ms).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
