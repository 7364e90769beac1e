#include "job/outcome_report.h"
#include "job/overload_simulation.h"
#include "job/simulated_workloads.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds WarmUp = 2s; // Load before the first deadly job.
constexpr std::chrono::milliseconds Deadly = 10s; // Span in which deadly jobs arrive.
constexpr std::chrono::milliseconds Isolation = 1500ms; // Time from the first crash until the other kinds must be served again.
constexpr std::chrono::milliseconds Recovery = 8s; // Time from the last deadly job until the kind must be served as before.
constexpr std::chrono::milliseconds Rest = 4s; // Span after the recovery.

// Runs a load in which a kind has deadly jobs for 10 s. Prints the outcomes of each second.
void runDeadlyKind(overload_simulation &simulation, const std::string &kind, double share)
{
    simulation.run(WarmUp);
    simulation.setDeadly(kind, share);
    simulation.run(Deadly);
    simulation.setDeadly(kind, 0);
    simulation.run(Recovery + Rest);
    const auto end = simulation.elapsed();
    simulation.finish();
    for (std::chrono::seconds at = 0s; at < end; ++at) {
        const auto crashes = std::ranges::count_if(simulation.crashes(), [at](const simulated_crash &crash) {
            return crash.at >= at && crash.at < at + 1s;
        });
        report("second " + std::to_string(at.count()) + ", crashes " + std::to_string(crashes) + ",", simulation.outcomes(at, at + 1s));
    }
    BOOST_TEST_MESSAGE("crashes " << simulation.crashes().size() << " down at once " << simulation.maxDown());
    BOOST_TEST_REQUIRE(!simulation.crashes().empty());
}

// Checks that the other kinds keep the endpoints that are not isolated, from shortly after the first crash until the last deadly job.
void checkOtherKinds(const overload_simulation &simulation, const std::string &kind)
{
    const auto outcomes = simulation.outcomes(simulation.crashes().front().at + Isolation, WarmUp + Deadly);
    report("while deadly", outcomes);
    for (const auto &[name, one] : outcomes) {
        if (name != kind) {
            BOOST_TEST_CONTEXT(name)
            BOOST_TEST(one.fractionInTime() >= 0.8);
        }
    }
}

// Checks that at most half of the endpoints are down at once, and that no task goes on crashing endpoints.
void checkCrashes(const overload_simulation &simulation, std::size_t endpoints)
{
    BOOST_TEST(2 * simulation.maxDown() <= endpoints);
    std::size_t starts = 0;
    std::size_t crashes = 0;
    std::size_t startsAfterThreeLosses = 0;
    for (const simulated_task &task : simulation.deadlyTasks()) {
        starts = std::max(starts, task.starts);
        crashes = std::max(crashes, task.crashes);
        startsAfterThreeLosses = std::max(startsAfterThreeLosses, task.startsAfterThreeLosses);
    }
    BOOST_TEST_MESSAGE("one deadly task: starts up to " << starts << " crashes up to " << crashes << " starts after three losses up to "
                                                        << startsAfterThreeLosses);
    BOOST_TEST(crashes <= 3U);
    BOOST_TEST(startsAfterThreeLosses <= 3U);
}

// Checks that the healthy jobs of the kind with deadly jobs are refused early, so that the caller has time for another attempt, and only
// while nothing of them has run.
void checkRefusals(const overload_simulation &simulation, const std::string &kind)
{
    const kind_outcome healthy = simulation.outcomes(0s, simulation.elapsed()).at(kind);
    report("whole run", {{kind, healthy}});
    BOOST_TEST(healthy.refusedSlowly <= healthy.submitted / 50);
    BOOST_TEST(healthy.refusedFalsely == 0U);
}

// Checks that a kind is served as before once its deadly jobs have ended.
void checkRecovery(const overload_simulation &simulation, const std::string &kind)
{
    const auto begin = WarmUp + Deadly + Recovery;
    const auto outcomes = simulation.outcomes(begin, begin + Rest);
    report("after recovery", outcomes);
    BOOST_TEST(outcomes.at(kind).fractionInTime() >= 0.95);
}

} // namespace

BOOST_AUTO_TEST_SUITE(endpoint_crash_test)

// Guards against deadly jobs of a frequent kind that take the endpoints from all other kinds, because each lost task is started elsewhere
// at once.
BOOST_AUTO_TEST_CASE(keepsOtherKindsWhileFrequentJobsCrashEndpoints)
{
    overload_simulation simulation(baselineKinds(), 11, 1);
    runDeadlyKind(simulation, "eligibility", 0.1);
    checkOtherKinds(simulation, "eligibility");
    checkCrashes(simulation, 11);
    checkRefusals(simulation, "eligibility");
    checkRecovery(simulation, "eligibility");
}

// Guards against crashes that every entry must learn of by itself, so that many entries together crash most endpoints.
BOOST_AUTO_TEST_CASE(keepsOtherKindsWithManyEntries)
{
    overload_simulation simulation(scaledKinds(), 70, 2, 13);
    runDeadlyKind(simulation, "eligibility", 0.1);
    checkOtherKinds(simulation, "eligibility");
    checkCrashes(simulation, 70);
    checkRefusals(simulation, "eligibility");
    checkRecovery(simulation, "eligibility");
}

// Guards against isolation that comes too late for a kind whose jobs are rare and long.
BOOST_AUTO_TEST_CASE(keepsOtherKindsWhileLongJobsCrashEndpoints)
{
    overload_simulation simulation(baselineKinds(), 11, 3);
    runDeadlyKind(simulation, "order", 0.2);
    checkOtherKinds(simulation, "order");
    checkCrashes(simulation, 11);
    checkRefusals(simulation, "order");
    checkRecovery(simulation, "order");
}

BOOST_AUTO_TEST_SUITE_END()
