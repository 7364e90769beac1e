#include "chain/steady_callers_play.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;

BOOST_AUTO_TEST_SUITE(slowed_agents_test)

// Guards against a start that waits unread at a slowed agent of a large site and begins after its home has lost the session.
BOOST_AUTO_TEST_CASE(processesThatFallBehindLeaveNoRunBehind)
{
    playWithSteadyCallers({.slowProcesses = 20, .oneSidedResets = 5}, {.first = 31, .last = 32}, LargeSite);
}

BOOST_AUTO_TEST_SUITE_END()
