#include "job/outcome_report.h"
#include "job/overload_simulation.h"
#include "job/simulated_workloads.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds WarmUp = 2s; // Load before the first crash.
constexpr std::chrono::milliseconds Disturbance = 1s; // Time after a crash in which jobs may be late.

// Checks that all kinds keep their endpoints.
void checkServed(const std::map<std::string, kind_outcome> &outcomes)
{
    report("after the crashes", outcomes);
    for (const auto &[kind, one] : outcomes) {
        BOOST_TEST_CONTEXT(kind)
        BOOST_TEST(one.fractionInTime() >= 0.9);
    }
}

// Checks that no job fails, unless its deadline has passed or a task has lost three runs with crashed endpoints.
void checkNoneGivenUp(const overload_simulation &simulation)
{
    const auto outcomes = simulation.outcomes(0s, simulation.elapsed());
    report("whole run", outcomes);
    for (const auto &[kind, one] : outcomes) {
        BOOST_TEST_CONTEXT(kind)
        BOOST_TEST(one.failedEarly == 0U);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(independent_crash_test)

// Guards against kinds that are isolated because their tasks were running at endpoints of a rack that lost power.
BOOST_AUTO_TEST_CASE(isolatesNoKindAfterTheLossOfARack)
{
    overload_simulation simulation(baselineKinds(), 11, 11);
    simulation.run(WarmUp);
    for (const std::size_t endpoint : {3, 4, 5}) {
        simulation.crash(endpoint);
    }
    simulation.run(8s);
    const auto end = simulation.elapsed();
    simulation.finish();
    checkServed(simulation.outcomes(WarmUp + Disturbance, end));
    checkNoneGivenUp(simulation);
}

// Guards against kinds that are isolated because their tasks were running at an endpoint that goes down and up again.
BOOST_AUTO_TEST_CASE(isolatesNoKindForAnUnstableEndpoint)
{
    constexpr int crashes = 6;
    constexpr std::chrono::milliseconds period = 2s;
    overload_simulation simulation(baselineKinds(), 11, 12);
    simulation.run(WarmUp);
    for (int crash = 0; crash < crashes; ++crash) {
        simulation.crash(4, period / 2);
        simulation.run(period);
    }
    simulation.finish();
    // A second holds only a few orders, so the spans after all crashes are checked together.
    std::map<std::string, kind_outcome> sums;
    for (int crash = 0; crash < crashes; ++crash) {
        for (const auto &[kind, one] : simulation.outcomes(WarmUp + crash * period + Disturbance, WarmUp + (crash + 1) * period)) {
            sums[kind].submitted += one.submitted;
            sums[kind].inTime += one.inTime;
        }
    }
    checkServed(sums);
    checkNoneGivenUp(simulation);
}

BOOST_AUTO_TEST_SUITE_END()
