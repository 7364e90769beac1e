#include "job/overload_simulation.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

// Workload of the users: kinds with short jobs of many tasks, long jobs, and frequent small jobs. The load is 245 of 411 cores.
std::vector<simulated_kind> baselineKinds()
{
    return {
        {.name = "eligibility", .priority = 0, .jobsPerSecond = 34.4, .tasks = 8, .work = 60ms},
        {.name = "order", .priority = 2, .jobsPerSecond = 6.25, .tasks = 4, .work = 900ms},
        {.name = "lookup", .priority = 1, .jobsPerSecond = 100, .tasks = 2, .work = 200ms},
    };
}

// The same workload after growth, for 13 entries and 70 endpoints, some of which are lost.
std::vector<simulated_kind> scaledKinds()
{
    return {
        {.name = "eligibility", .priority = 0, .jobsPerSecond = 206, .tasks = 8, .work = 60ms},
        {.name = "order", .priority = 2, .jobsPerSecond = 37.5, .tasks = 4, .work = 900ms},
        {.name = "lookup", .priority = 1, .jobsPerSecond = 600, .tasks = 2, .work = 200ms},
    };
}

// Prints the outcomes; visible with --log_level=message.
void report(const std::string &title, const std::map<std::string, kind_outcome> &outcomes)
{
    for (const auto &[kind, one] : outcomes) {
        BOOST_TEST_MESSAGE(title << " " << kind << ": submitted " << one.submitted << " in time " << one.inTime << " late " << one.late << " refused "
                                 << one.refused);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(overload_simulation_test)

// Guards against jobs that are late or refused although the endpoints have free capacity.
BOOST_AUTO_TEST_CASE(meetsObjectivesUnderNormalLoad)
{
    overload_simulation simulation(baselineKinds(), 11, 1);
    simulation.run(10s);
    const auto outcomes = simulation.takeOutcomes();
    report("normal load", outcomes);
    for (const auto &[kind, one] : outcomes) {
        BOOST_TEST_CONTEXT(kind)
        BOOST_TEST(one.fractionInTime() >= 0.98);
    }
}

// Simulates the loss of two endpoints and long jobs at 2.5 times their rate. Guards against short urgent jobs that wait behind long
// tasks.
BOOST_AUTO_TEST_CASE(keepsTheUrgentKindInTimeUnderOverloadOfLongJobs)
{
    overload_simulation simulation(baselineKinds(), 9, 2);
    simulation.run(4s);
    simulation.takeOutcomes();
    simulation.run(7s, 2.5, "order");
    const auto outcomes = simulation.takeOutcomes();
    report("overload of orders", outcomes);
    BOOST_TEST(outcomes.at("eligibility").fractionInTime() >= 0.8);
}

// Simulates a long loss of endpoints, after which the load is 90 % of the remaining capacity. Guards against late or refused jobs below
// full load.
BOOST_AUTO_TEST_CASE(servesMostInTimeAtNineTenthsOfTheCapacity)
{
    overload_simulation simulation(baselineKinds(), 8, 3);
    simulation.run(20s);
    const auto outcomes = simulation.takeOutcomes();
    report("nine tenths", outcomes);
    BOOST_TEST(outcomes.at("eligibility").fractionInTime() >= 0.9);
    for (const auto &[kind, one] : outcomes) {
        BOOST_TEST_CONTEXT(kind)
        BOOST_TEST(one.fractionInTime() >= 0.8);
    }
}

// Simulates an overload of long jobs at 13 entries. Guards against starts that wait at agents whose free slots were offered to many
// entries at once.
BOOST_AUTO_TEST_CASE(servesOverloadThroughManyEntries)
{
    overload_simulation simulation(scaledKinds(), 50, 5, 13);
    simulation.run(3s);
    simulation.takeOutcomes();
    simulation.run(5s, 2.1, "order");
    const auto outcomes = simulation.takeOutcomes();
    report("many entries", outcomes);
    BOOST_TEST(outcomes.at("eligibility").fractionInTime() >= 0.8);
    BOOST_TEST(outcomes.at("lookup").fractionInTime() >= 0.7);
    BOOST_TEST(outcomes.at("order").fractionInTime() >= 0.7);
}

// Simulates two endpoints that are five times slower for several seconds. Guards against most jobs with many tasks being late
// because one of their tasks was placed there.
BOOST_AUTO_TEST_CASE(keepsWorkAwayFromSlowEndpoints)
{
    overload_simulation simulation(baselineKinds(), 11, 4);
    simulation.run(4s);
    simulation.takeOutcomes();
    simulation.setSlowdown(3, 5);
    simulation.setSlowdown(7, 5);
    simulation.run(2s);
    report("first seconds with slow endpoints", simulation.takeOutcomes());
    simulation.run(5s);
    const auto outcomes = simulation.takeOutcomes();
    report("slow endpoints", outcomes);
    for (const auto &[kind, one] : outcomes) {
        BOOST_TEST_CONTEXT(kind)
        BOOST_TEST(one.fractionInTime() >= 0.9);
    }
}

BOOST_AUTO_TEST_SUITE_END()
