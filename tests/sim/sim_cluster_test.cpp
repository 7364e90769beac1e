#include "sim/percentile.h"
#include "sim/sim_cluster.h"

#include <boost/test/unit_test.hpp>

#include <chrono>

using namespace teaselward;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(sim_cluster_test)

// Guards against a nondeterministic simulation, which would give a different signature in each run.
BOOST_AUTO_TEST_CASE(sameSeedGivesTheSameResults)
{
    sim_setup setup;
    setup.duration = seconds(40);
    sim_cluster first(setup);
    sim_cluster second(setup);
    const std::uint64_t hash = first.run().hash();
    BOOST_TEST(hash == second.run().hash());
    setup.seed = 2;
    sim_cluster third(setup);
    BOOST_TEST(hash != third.run().hash());
}

// Guards against a change of the policies that adds messages or response time at the default load.
BOOST_AUTO_TEST_CASE(usualLoadWastesFewMessages)
{
    sim_setup setup;
    setup.duration = seconds(120);
    sim_cluster cluster(setup);
    const sim_stats &stats = cluster.run();
    BOOST_TEST(stats.wastedMessagesPerTask() <= 0.05);
    BOOST_TEST(percentile(stats.jobRatios, 0.5) <= 1.02);
}

// Guards against slots that stay idle while their entry is disconnected, or that the entry doesn't get back after it reconnects.
BOOST_AUTO_TEST_CASE(slotsOfDisconnectedEntryAreUsedByOthers)
{
    sim_setup setup;
    setup.duration = seconds(120);
    setup.load.fill(0.6);
    setup.disconnectedEntry = 2;
    setup.faultStart = seconds(40);
    setup.faultEnd = seconds(70);
    sim_cluster cluster(setup);
    const sim_stats &stats = cluster.run();
    BOOST_TEST(stats.slotShare(0, 50, 70) + stats.slotShare(1, 50, 70) >= 0.95);
    BOOST_TEST(stats.slotShare(2, 90, 120) >= 0.28);
}

// Guards against late detection of a worker that fails every task at once, and against tasks sent to it after detection.
BOOST_AUTO_TEST_CASE(failingWorkerIsDetectedWithinTwoSeconds)
{
    sim_setup setup;
    setup.duration = seconds(90);
    setup.failingWorker = 3;
    setup.faultStart = seconds(30);
    sim_cluster cluster(setup);
    const sim_stats &stats = cluster.run();
    BOOST_TEST(stats.detectionSeconds >= 0);
    BOOST_TEST(stats.detectionSeconds <= 2);
    BOOST_TEST(stats.failingWorkerStartsAfterDetection * 50 <= stats.startsAfterDetection);
}

BOOST_AUTO_TEST_SUITE_END()
