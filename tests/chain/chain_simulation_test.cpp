#include "chain/chain_simulation.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(chain_simulation_test)

// Guards against a simulation whose processes lose runs, sessions or workers by themselves.
BOOST_AUTO_TEST_CASE(withoutFaultsEveryJobIsComplete)
{
    chain_simulation simulation(1, {});
    simulation.run(10s);
    BOOST_TEST(simulation.overlaps().empty());
    BOOST_TEST(simulation.jobs() > 50U);
    BOOST_TEST(simulation.completeJobs() == simulation.jobs());
    BOOST_TEST(simulation.resubmissions() == 0U);
    BOOST_TEST(simulation.lapsedRuns() == 0U);
    BOOST_TEST(simulation.lostWorkers() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
