#include "chain/chain_simulation.h"

#include <boost/test/unit_test.hpp>

#include <cstdint>

using namespace teaselward;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(two_runs_after_a_freeze_test)

// Guards against a second run of a task from a submission that waited while its entry was frozen. Its caller has left and has
// submitted the job to another entry meanwhile.
BOOST_AUTO_TEST_CASE(aSubmissionFromBeforeAFreezeStartsNothing)
{
    for (const std::uint32_t seed : {143U, 212U, 264U}) {
        chain_simulation simulation(seed, {.perSecond = 1, .lateOrders = 0.5, .lostAnswers = 0.05, .lateLists = 0.05});
        simulation.run(20s);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(simulation.overlaps().empty());
        }
    }
}

// Guards against the same with few late orders and many disruptions, at entries with and without outstanding starts.
BOOST_AUTO_TEST_CASE(aSubmissionFromBeforeAFreezeStartsNothingAmongManyDisruptions)
{
    for (const std::uint32_t seed : {219U, 349U, 783U, 884U}) {
        chain_simulation simulation(seed, {.perSecond = 2, .lateOrders = 0.05, .lostAnswers = 0.05, .lateLists = 0.05});
        simulation.run(20s);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(simulation.overlaps().empty());
        }
    }
}

// Guards against a start from before the freeze of its agent that begins late, since the agent renews the lease when it goes on.
BOOST_AUTO_TEST_CASE(aLateStartFromBeforeAFreezeOfItsAgentStaysRefused)
{
    chain_simulation simulation(400, {.perSecond = 1, .lateOrders = 0.5, .lostAnswers = 0.05, .lateLists = 0.05});
    simulation.run(20s);
    BOOST_TEST(simulation.overlaps().empty());
}

BOOST_AUTO_TEST_SUITE_END()
