#include "chain/steady_callers_play.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;

BOOST_AUTO_TEST_SUITE(silent_restart_test)

// Guards against a start for the former life of a worker that begins in its next life, while its agent reports it as ended and the home
// starts the task elsewhere.
BOOST_AUTO_TEST_CASE(aRestartWithoutRefusedConnectionsLeavesNoRunBehind)
{
    playWithSteadyCallers({.silentCrashes = 4}, {.first = 1, .last = 60});
}

// Guards against the same when answers of the worker are lost, so that its next life is noticed late.
BOOST_AUTO_TEST_CASE(aRestartWithLostAnswersLeavesNoRunBehind)
{
    playWithSteadyCallers({.lostAnswers = 0.2, .silentCrashes = 4}, {.first = 1, .last = 40});
}

// Guards against the same when the agent is late or paused at that time.
BOOST_AUTO_TEST_CASE(aRestartBesideALateAgentLeavesNoRunBehind)
{
    playWithSteadyCallers({.lateThreads = 1, .shortPauses = 1, .silentCrashes = 2}, {.first = 1, .last = 40});
}

BOOST_AUTO_TEST_SUITE_END()
