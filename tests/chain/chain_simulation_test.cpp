#include "chain/chain_simulation.h"
#include "chain/steady_callers.h"

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

// Guards against a large site whose agents register at all entries, at too few of them, or lose jobs by themselves.
BOOST_AUTO_TEST_CASE(agentsOfALargeSiteHaveSessionsWithSomeEntries)
{
    chain_simulation simulation(1, {}, steadyCallers(LargeSite), LargeSite);
    simulation.run(5s);
    for (std::size_t agent = 0; agent < LargeSite.agents; ++agent) {
        BOOST_TEST(simulation.openSessions(agent) == LargeSite.sessions);
    }
    BOOST_TEST(simulation.overlaps().empty());
    BOOST_TEST(simulation.jobs() > 100U);
    BOOST_TEST(simulation.completeJobs() == simulation.jobs());
    BOOST_TEST(simulation.lostWorkers() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
