#include "chain/steady_callers_play.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;

namespace
{

constexpr seed_range Seeds{.first = 1, .last = 30};

} // namespace

BOOST_AUTO_TEST_SUITE(steady_callers_test)

// Guards against a home that starts a task again while its run goes on at an agent that has not seen the reset of their connection.
BOOST_AUTO_TEST_CASE(oneSidedResetsLeaveNoRunBehind)
{
    playWithSteadyCallers({.oneSidedResets = 1}, Seeds);
}

// Guards against the same when the connection works in one direction only.
BOOST_AUTO_TEST_CASE(oneWayCutsLeaveNoRunBehind)
{
    playWithSteadyCallers({.oneWayCuts = 1}, Seeds);
}

// Guards against the same when the steps of a process take 10 to 16 ms each, so that messages and timers queue up.
BOOST_AUTO_TEST_CASE(slowProcessesLeaveNoRunBehind)
{
    playWithSteadyCallers({.slowProcesses = 2, .oneSidedResets = 1}, Seeds);
    playWithSteadyCallers({.slowProcesses = 2, .oneWayCuts = 1}, Seeds);
}

// Guards against the same when the worker carries out half of the orders seconds late.
BOOST_AUTO_TEST_CASE(lateOrdersLeaveNoRunBehind)
{
    playWithSteadyCallers({.lateOrders = 0.5, .lostAnswers = 0.05, .lateLists = 0.05, .oneWayCuts = 1, .oneSidedResets = 1}, Seeds);
}

// Guards against a home that starts a task again while its run goes on, if its worker crashes and returns but no order is late.
BOOST_AUTO_TEST_CASE(crashedWorkersLeaveNoRunBehind)
{
    playWithSteadyCallers({.workerCrashes = 1}, Seeds);
    playWithSteadyCallers({.lostAnswers = 0.25, .workerCrashes = 1}, Seeds);
}

BOOST_AUTO_TEST_SUITE_END()
