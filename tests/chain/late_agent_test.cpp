#include "chain/steady_callers_play.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;

BOOST_AUTO_TEST_SUITE(late_agent_test)

// Guards against a run that outlives the wait of its home because a thread of the agent is late.
BOOST_AUTO_TEST_CASE(aLateThreadAloneLeavesNoRunBehind)
{
    playWithSteadyCallers({.lateThreads = 2}, {.first = 40, .last = 80});
}

// Guards against the same when only the home sees the connection reset, so that the lease of the session ends the run.
BOOST_AUTO_TEST_CASE(aLateThreadAmongOneSidedResetsLeavesNoRunBehind)
{
    playWithSteadyCallers({.lateThreads = 2, .oneSidedResets = 1}, {.first = 1, .last = 60});
}

// Guards against a start that waits unread at a late agent and begins after its home has lost the session, or has even started the task again.
BOOST_AUTO_TEST_CASE(aStartThatWaitedAmongOneWayCutsBeginsNothing)
{
    playWithSteadyCallers({.lateThreads = 2, .oneWayCuts = 1}, {.first = 30, .last = 90});
}

// Guards against a run that outlives the wait of its home because pauses of its agent, each shorter than a lease, add up.
BOOST_AUTO_TEST_CASE(shortPausesOfAnAgentLeaveNoRunBehind)
{
    playWithSteadyCallers({.oneSidedResets = 1, .shortPauses = 2}, {.first = 230, .last = 290});
    playWithSteadyCallers({.oneWayCuts = 1, .shortPauses = 2}, {.first = 260, .last = 290});
}

// Guards against a run that outlives the wait of its home because a late thread of the agent meets orders that are carried out late.
BOOST_AUTO_TEST_CASE(aLateThreadWithLateOrdersLeavesNoRunBehind)
{
    playWithSteadyCallers({.lateOrders = 0.5, .lostAnswers = 0.05, .lateLists = 0.05, .lateThreads = 2, .oneSidedResets = 1}, {.first = 1, .last = 60});
}

// Guards against the same on a site whose agents have sessions with most of the entries.
BOOST_AUTO_TEST_CASE(lateThreadsOfALargeSiteLeaveNoRunBehind)
{
    playWithSteadyCallers({.lateThreads = 27, .oneSidedResets = 14}, {.first = 1, .last = 4}, LargeSite);
}

BOOST_AUTO_TEST_SUITE_END()
