#include "job/overload_simulation.h"
#include "job/simulated_workloads.h"

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <map>
#include <string>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

using outcome_map = std::map<std::string, kind_outcome>;

constexpr std::chrono::milliseconds WarmUp = 2s; // Load before the first crash.
constexpr std::chrono::milliseconds Disturbance = 1s; // Time after a crash in which jobs may be late.
constexpr std::uint32_t Seeds = 6; // A single run has too few orders for a bound on their fraction.

// Adds the outcomes of the jobs that arrived in a span.
void addSpan(outcome_map &sums, const overload_simulation &simulation, std::chrono::microseconds from, std::chrono::microseconds to)
{
    for (const auto &[kind, one] : simulation.outcomes(from, to)) {
        kind_outcome &sum = sums[kind];
        sum.submitted += one.submitted;
        sum.inTime += one.inTime;
        sum.hit += one.hit;
        sum.hitInTime += one.hitInTime;
    }
}

// Prints the fractions in time; visible with --log_level=message.
void reportSpans(const outcome_map &sums)
{
    for (const auto &[kind, one] : sums) {
        BOOST_TEST_MESSAGE("after the crashes " << kind << ": submitted " << one.submitted << " in time " << one.inTime << " hit " << one.hit << " in time "
                                                << one.hitInTime);
    }
}

// Checks that no job fails, unless its deadline has passed or a task has lost three runs with crashed endpoints.
void checkNoneGivenUp(const overload_simulation &simulation)
{
    for (const auto &[kind, one] : simulation.outcomes(0s, simulation.elapsed())) {
        BOOST_TEST_CONTEXT(kind)
        BOOST_TEST(one.failedEarly == 0U);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(independent_crash_test)

// Guards against kinds that are isolated because their tasks were running at endpoints of a rack that lost power.
BOOST_AUTO_TEST_CASE(isolatesNoKindAfterTheLossOfARack)
{
    outcome_map sums;
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        overload_simulation simulation(baselineKinds(), 11, seed);
        simulation.run(WarmUp);
        for (const std::size_t endpoint : {3, 4, 5}) {
            simulation.crash(endpoint);
        }
        simulation.run(8s);
        const auto end = simulation.elapsed();
        simulation.finish();
        addSpan(sums, simulation, WarmUp + Disturbance, end);
        checkNoneGivenUp(simulation);
    }
    reportSpans(sums);
    for (const auto &[kind, one] : sums) {
        BOOST_TEST_CONTEXT(kind)
        BOOST_TEST(one.fractionInTime() >= 0.9);
    }
}

// Guards against kinds that are isolated because their tasks were running at an endpoint that goes down and up again.
BOOST_AUTO_TEST_CASE(isolatesNoKindForAnUnstableEndpoint)
{
    constexpr int crashes = 6;
    constexpr std::chrono::milliseconds period = 2s;
    outcome_map sums;
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        overload_simulation simulation(baselineKinds(), 11, seed);
        simulation.run(WarmUp);
        for (int crash = 0; crash < crashes; ++crash) {
            simulation.crash(4, period / 2);
            simulation.run(period);
        }
        simulation.finish();
        for (int crash = 0; crash < crashes; ++crash) {
            addSpan(sums, simulation, WarmUp + crash * period + Disturbance, WarmUp + (crash + 1) * period);
        }
        checkNoneGivenUp(simulation);
    }
    reportSpans(sums);
    for (const auto &[kind, one] : sums) {
        BOOST_TEST_CONTEXT(kind)
        {
            BOOST_TEST(one.fractionInTimeUnlessHit() >= 0.9);
            // An order runs for 0.9 s, so the next crash hits it so late that a second run cannot meet the objective.
            BOOST_TEST((kind == "order" || one.fractionInTime() >= 0.9));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
