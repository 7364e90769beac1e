#include "place/slot_table.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <map>
#include <stdexcept>
#include <string>

using namespace teaselward;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/** Six agents, numbered from 1, with four slots and credits each, two in each of three failure domains. */
struct fixture {
    fixture()
    {
        for (std::uint64_t agent = 1; agent <= 6; ++agent) {
            join(agent);
        }
    }

    static agent_info info(std::uint64_t agent)
    {
        agent_info item;
        item.id = {agent};
        item.slots = 4;
        item.failureDomain = std::to_string(agent % 3);
        item.kinds = {"kind", "other"};
        return item;
    }

    void join(std::uint64_t agent)
    {
        table.join(info(agent), 4, seconds(2), now);
    }

    // Ends a task with the verdict and returns its credit. A start that was refused has the reason overloaded.
    void release(const agent_id &agent, task_verdict verdict, milliseconds runTime = milliseconds(100), std::string_view kind = "kind")
    {
        const reason why = verdict == task_verdict::notStarted ? reason::overloaded : reason::none;
        table.release(agent, kind, {verdict, why, "", runTime}, 1, now);
    }

    endpoint_health health(std::uint64_t agent) const
    {
        for (const endpoint_status &item : table.status()) {
            if (item.info.id.value == agent) {
                return item.health;
            }
        }
        return endpoint_health::lost;
    }

    // Runs tasks one after another, one every 5 ms. The agent with the number failing fails each of its tasks; 0 is no agent.
    // Returns the number of tasks that the failing agent got.
    int run(int tasks, std::uint64_t failing, std::string_view kind = "kind")
    {
        int got = 0;
        for (int i = 0; i < tasks; ++i) {
            now += milliseconds(5);
            const auto agent = table.acquire(kind, now);
            BOOST_REQUIRE(agent);
            got += agent->value == failing ? 1 : 0;
            release(*agent, agent->value == failing ? task_verdict::failed : task_verdict::succeeded, milliseconds(1), kind);
        }
        return got;
    }

    slot_table table{"credits", 1};
    mono_time now = mono_time(seconds(1));
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(slot_table_test, fixture)

// Guards against a misspelled strategy that silently becomes another one.
BOOST_AUTO_TEST_CASE(unknownStrategyIsAnError)
{
    BOOST_CHECK_THROW(slot_table("credit", 1), std::out_of_range);
}

// Guards against a high-priority task that waits at its entry while others use all slots, and against a queue of such tasks at
// one agent.
BOOST_AUTO_TEST_CASE(aHighPriorityKindMayStartTwiceBeyondTheCredits)
{
    while (table.acquire("kind", now)) {
    }
    std::map<std::uint64_t, int> extraStarts; // Starts beyond the credits, by agent.
    while (const auto agent = table.acquire("kind", now, true)) {
        ++extraStarts[agent->value];
    }
    BOOST_TEST(extraStarts.size() == 6U);
    for (const auto &[agent, starts] : extraStarts) {
        BOOST_TEST(starts == 2);
    }
    BOOST_TEST(!table.isPlaceable("kind", now, true));
}

// Guards against starts beyond the credits, and against load that does not spread over agents and failure domains.
BOOST_AUTO_TEST_CASE(creditsBoundAndSpreadTheLoad)
{
    std::map<std::uint64_t, int> started;
    for (int i = 0; i < 6; ++i) {
        ++started[table.acquire("kind", now)->value];
    }
    BOOST_TEST(started.size() == 6);
    for (int i = 0; i < 18; ++i) {
        BOOST_TEST(table.isPlaceable("kind", now));
        ++started[table.acquire("kind", now)->value];
    }
    BOOST_TEST(!table.isPlaceable("kind", now));
    BOOST_TEST(!table.acquire("kind", now));
    BOOST_TEST(started[3] == 4);
    BOOST_TEST(table.slots("kind") == 24);
    BOOST_TEST(table.slots("none") == 0);
}

// Guards against an endpoint that attracts work by failing fast.
BOOST_AUTO_TEST_CASE(failingWorkerIsExcludedAndProbed)
{
    run(60, 0);
    BOOST_TEST(run(200, 2) <= 6); // Four failures exclude the agent; the others are probes during one second.
    BOOST_TEST((health(2) == endpoint_health::failing));
    const int probes = run(2000, 2);
    BOOST_TEST(probes >= 2);
    BOOST_TEST(probes <= 20); // One percent of the 2000 tasks, which take ten seconds.
    run(20000, 0);
    BOOST_TEST((health(2) == endpoint_health::healthy));
}

// Guards against a kind that fails everywhere and takes all endpoints out of service.
BOOST_AUTO_TEST_CASE(failingKindExcludesNoEndpoint)
{
    run(60, 0);
    for (int i = 0; i < 300; ++i) {
        now += milliseconds(5);
        const auto agent = table.acquire("other", now);
        BOOST_REQUIRE(agent);
        release(*agent, task_verdict::failed, milliseconds(1), "other");
    }
    for (std::uint64_t agent = 1; agent <= 6; ++agent) {
        BOOST_TEST((health(agent) == endpoint_health::healthy));
    }
}

// Guards against a busy endpoint that is treated as failing, and against a refused start that is repeated at once. The delay
// after repeated refusals is at most 500 ms.
BOOST_AUTO_TEST_CASE(saturationCausesAShortBackoff)
{
    const auto agent = *table.acquire("kind", now);
    for (int i = 0; i < 20; ++i) {
        release(agent, task_verdict::notStarted);
        table.addCredits(agent, -1); // Used by the next start, which is refused too.
    }
    table.addCredits(agent, 1);
    BOOST_TEST((health(agent.value) == endpoint_health::saturated));
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(table.acquire("kind", now)->value != agent.value);
    }
    BOOST_TEST(!table.isPlaceable("kind", now));
    BOOST_TEST((table.nextDue() <= now + milliseconds(500)));
    now += milliseconds(500);
    BOOST_TEST(table.acquire("kind", now)->value == agent.value);
}

// Guards against a slow endpoint that gets as much work as the others, and against one that stays excluded after it has
// recovered.
BOOST_AUTO_TEST_CASE(slowEndpointIsExcludedAndProbed)
{
    const auto runWithSlowAgent = [this](milliseconds slowRunTime, int tasks) {
        int got = 0;
        for (int i = 0; i < tasks; ++i) {
            now += milliseconds(5);
            const auto agent = *table.acquire("kind", now);
            got += agent.value == 5 ? 1 : 0;
            release(agent, task_verdict::succeeded, agent.value == 5 ? slowRunTime : milliseconds(100));
        }
        return got;
    };
    runWithSlowAgent(milliseconds(100), 60); // Gives the kind a usual run time, which needs 32 outcomes.
    BOOST_TEST(runWithSlowAgent(milliseconds(500), 200) <= 6); // Same bound as for a failing endpoint.
    BOOST_TEST((health(5) == endpoint_health::failing));
    const int probes = runWithSlowAgent(milliseconds(500), 2000);
    // A slow endpoint is probed at least every 2 s, and the tasks take ten seconds.
    BOOST_TEST(probes >= 3);
    BOOST_TEST(probes <= 10);
    runWithSlowAgent(milliseconds(100), 600);
    BOOST_TEST((health(5) == endpoint_health::healthy));
}

// Guards against an endpoint that is treated as slow because two of its many tasks were long. One task in 25 takes 40 times as
// long as the others.
BOOST_AUTO_TEST_CASE(singleLongTasksExcludeNoEndpoint)
{
    for (int i = 0; i < 600; ++i) {
        now += milliseconds(5);
        const auto agent = *table.acquire("kind", now);
        release(agent, task_verdict::succeeded, milliseconds(i % 25 == 0 ? 4000 : 100));
        BOOST_TEST((health(agent.value) == endpoint_health::healthy));
    }
}

// Guards against a change of the workload that is mistaken for slow endpoints: all run times grow to ten times the usual one,
// and at most a third of the endpoints may be excluded.
BOOST_AUTO_TEST_CASE(longerTasksExcludeFewEndpoints)
{
    for (int i = 0; i < 600; ++i) {
        now += milliseconds(5);
        const auto agent = *table.acquire("kind", now);
        release(agent, task_verdict::succeeded, milliseconds(i < 100 ? 100 : 1000));
    }
    int healthy = 0;
    for (std::uint64_t agent = 1; agent <= 6; ++agent) {
        healthy += health(agent) == endpoint_health::healthy ? 1 : 0;
    }
    BOOST_TEST(healthy >= 4);
}

// Guards against new work for an agent that is leaving or lost, and against one that gets no work after it has reconnected.
BOOST_AUTO_TEST_CASE(leavingAgentGetsNothing)
{
    table.leave({4});
    BOOST_TEST(table.slots("kind") == 20);
    BOOST_TEST(table.agents().size() == 5);
    table.addCredits({4}, 4);
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(table.acquire("kind", now)->value != 4);
    }
    BOOST_TEST(!table.acquire("kind", now));
    join(4);
    BOOST_TEST(table.acquire("kind", now)->value == 4);
}

// Guards against a failing endpoint that gets its full load back because its agent reconnects.
BOOST_AUTO_TEST_CASE(reconnectionKeepsTheHealth)
{
    run(60, 0);
    run(200, 2);
    table.leave({2});
    join(2);
    BOOST_TEST((health(2) == endpoint_health::failing));
}

// Guards against baseline strategies that exceed the slots because they ignore credits.
BOOST_AUTO_TEST_CASE(baselinesAreBoundedBySlots)
{
    for (const char *name : {"random", "two_choices", "least_outstanding"}) {
        slot_table baseline(name, 1);
        baseline.join(info(1), 0, seconds(2), now);
        baseline.join(info(2), 0, seconds(2), now);
        for (int i = 0; i < 8; ++i) {
            BOOST_TEST(baseline.acquire("kind", now).has_value());
        }
        BOOST_TEST(!baseline.acquire("kind", now).has_value());
    }
}

BOOST_AUTO_TEST_SUITE_END()
