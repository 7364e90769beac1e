#include "job/fault_simulation.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;

BOOST_AUTO_TEST_SUITE(fault_simulation_test)

// Guards against failed jobs and recovery traffic in the absence of faults.
BOOST_AUTO_TEST_CASE(withoutFaultsEveryJobIsComplete)
{
    fault_simulation simulation(1, 0);
    simulation.run(200);
    BOOST_TEST(simulation.completeJobs == 200);
    BOOST_TEST(simulation.failedJobs == 0);
    BOOST_TEST(simulation.duplicateRuns == 0);
    BOOST_TEST(simulation.wrongAnswers == 0);
    BOOST_TEST(simulation.lostRequests == 0);
    BOOST_TEST(simulation.fences == 0);
    BOOST_TEST(simulation.revocations == 0);
}

// Guards against duplicate runs, partial or wrong answers, a false "not run" and unanswered requests when connections are lost,
// processes crash or pause, and endpoints fail, in random order.
BOOST_AUTO_TEST_CASE(noOrderOfFaultsBreaksAnInvariant)
{
    int complete = 0;
    int fences = 0;
    int revocations = 0;
    for (std::uint32_t seed = 1; seed <= 60; ++seed) {
        fault_simulation simulation(seed, seed % 2 == 0 ? 2.0 : 0.5);
        simulation.run(150);
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_TEST(simulation.duplicateRuns == 0);
            BOOST_TEST(simulation.wrongAnswers == 0);
            BOOST_TEST(simulation.falseNotRun == 0);
            BOOST_TEST(simulation.lostRequests == 0);
            BOOST_TEST(simulation.duplicateAnswers == 0);
        }
        complete += simulation.completeJobs;
        fences += simulation.fences;
        revocations += simulation.revocations;
    }
    BOOST_TEST_MESSAGE("complete " << complete << " fences " << fences << " revocations " << revocations);
    BOOST_TEST(complete > 60 * 150 / 2);
    BOOST_TEST(fences > 0);
    BOOST_TEST(revocations > 0);
}

BOOST_AUTO_TEST_SUITE_END()
