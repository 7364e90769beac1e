#include "chain/steady_callers_play.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;

BOOST_AUTO_TEST_SUITE(returned_worker_test)

// Guards against a start for the former life of a worker that begins in its next life before the first call of its agent, while the
// home has started the task again elsewhere.
BOOST_AUTO_TEST_CASE(aFewLateStartsOfAFormerLifeBeginNothing)
{
    playWithSteadyCallers({.lateOrders = 0.1, .workerCrashes = 1}, {.first = 20, .last = 60});
}

// Guards against the same when half of the orders are late, so that the stop of such a run may be late too.
BOOST_AUTO_TEST_CASE(manyLateStartsOfAFormerLifeBeginNothing)
{
    playWithSteadyCallers({.lateOrders = 0.5, .lostAnswers = 0.05, .lateLists = 0.05, .workerCrashes = 1}, {.first = 1, .last = 20});
}

BOOST_AUTO_TEST_SUITE_END()
