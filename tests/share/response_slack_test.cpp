#include "share/response_slack.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(response_slack_test)

// Guards against jobs of a kind without an objective that are refused because of one.
BOOST_AUTO_TEST_CASE(aKindWithoutObjectiveHasNoSlack)
{
    BOOST_TEST(!responseSlack({}, 100ms).has_value());
}

// Guards against slack that includes the run time or the messages.
BOOST_AUTO_TEST_CASE(excludesTheRunAndTheMessages)
{
    kind_rule rule;
    rule.stretch = 1.6;
    rule.target = 60ms;
    BOOST_TEST((responseSlack(rule, 100ms) == 100ms));
    rule.target = 0ms;
    BOOST_TEST((responseSlack(rule, 10ms) == 20ms));
}

BOOST_AUTO_TEST_SUITE_END()
