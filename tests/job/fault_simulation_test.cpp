#include "job/fault_simulation.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;

BOOST_AUTO_TEST_SUITE(fault_simulation_test)

// Guards against jobs that fail, and against recovery traffic, when nothing breaks.
BOOST_AUTO_TEST_CASE(withoutFaultsEveryJobIsComplete)
{
    fault_simulation world(1, 0);
    world.run(200);
    BOOST_TEST(world.completeJobs == 200);
    BOOST_TEST(world.failedJobs == 0);
    BOOST_TEST(world.duplicateRuns == 0);
    BOOST_TEST(world.wrongAnswers == 0);
    BOOST_TEST(world.lostRequests == 0);
    BOOST_TEST(world.fences == 0);
    BOOST_TEST(world.revocations == 0);
}

// Guards against second runs, partial or wrong answers, a false "not run", and requests without an answer when connections
// break, processes die or pause, and endpoints fail, in any order.
BOOST_AUTO_TEST_CASE(noOrderOfFaultsBreaksAnInvariant)
{
    int complete = 0;
    int fences = 0;
    int revocations = 0;
    for (std::uint32_t seed = 1; seed <= 60; ++seed) {
        fault_simulation world(seed, seed % 2 == 0 ? 2.0 : 0.5);
        world.run(150);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(world.duplicateRuns == 0);
            BOOST_TEST(world.wrongAnswers == 0);
            BOOST_TEST(world.falseNotRun == 0);
            BOOST_TEST(world.lostRequests == 0);
            BOOST_TEST(world.duplicateAnswers == 0);
        }
        complete += world.completeJobs;
        fences += world.fences;
        revocations += world.revocations;
    }
    BOOST_TEST_MESSAGE("complete " << complete << " fences " << fences << " revocations " << revocations);
    BOOST_TEST(complete > 60 * 150 / 2);
    BOOST_TEST(fences > 0);
    BOOST_TEST(revocations > 0);
}

BOOST_AUTO_TEST_SUITE_END()
