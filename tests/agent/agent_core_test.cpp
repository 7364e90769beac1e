#include "agent/agent_core.h"
#include "log/null_logger.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

constexpr entry_id Entry{100};
constexpr entry_id Other{200};

task_id task(std::uint32_t index, std::uint64_t sequence = 1)
{
    return {.ticket = {.incarnation = 100, .sequence = sequence}, .index = index};
}

task_outcome outcome(task_verdict verdict, const std::string &body = {})
{
    return {.verdict = verdict, .why = reason::none, .body = body, .runTime = 5ms};
}

task_outcome lostInCrash()
{
    task_outcome lost = outcome(task_verdict::interrupted);
    lost.why = reason::outcomeUnknown;
    lost.endpointCrashed = true;
    return lost;
}

agent_core_settings settingsWith(std::uint32_t slots, std::uint32_t maxRecords = 1000)
{
    agent_core_settings settings;
    settings.self.id = {1};
    settings.self.slots = slots;
    settings.maxRecords = maxRecords;
    return settings;
}

agent_core_settings settingsWithCpu(std::uint32_t cpuMillis)
{
    agent_core_settings settings = settingsWith(8);
    settings.capacity = task_resources{.cpuMillis = cpuMillis};
    return settings;
}

// Drives an agent core; `actions` holds the actions of the last event.
struct agent_fixture {
    explicit agent_fixture(const agent_core_settings &settings = settingsWith(8))
        : core(settings, log)
    {
        join(Entry);
    }

    void handle(const agent_event &event)
    {
        actions.clear();
        core.handle(event, now, actions);
    }

    void join(const entry_id &entry)
    {
        handle(entry_joined{.info = {.id = entry, .address = "10.0.0.1:1", .failureDomain = "a"}});
    }

    call_id startKind(const task_id &id, const std::string &kind, std::optional<std::chrono::milliseconds> crashAge = {})
    {
        start_order order;
        order.id = id;
        order.kind = kind;
        order.timeLimit = 10s;
        order.crashAge = crashAge;
        handle(start_received{.call = {++calls}, .from = Entry, .order = order});
        return {calls};
    }

    call_id start(const task_id &id, const entry_id &from = Entry, std::optional<std::chrono::milliseconds> slack = {})
    {
        start_order order;
        order.slack = slack;
        order.id = id;
        order.kind = "check";
        order.payload = "payload";
        order.timeLimit = 10s;
        handle(start_received{.call = {++calls}, .from = from, .order = order});
        return {calls};
    }

    // Starts a restartable task that needs CPU.
    void startSized(const task_id &id, std::uint32_t cpuMillis, const entry_id &from = Entry)
    {
        start_order order;
        order.id = id;
        order.needs = {.cpuMillis = cpuMillis};
        order.restartable = true;
        order.timeLimit = 10s;
        handle(start_received{.call = {++calls}, .from = from, .order = order});
    }

    void resize(std::uint32_t cpuMillis)
    {
        handle(capacity_changed{.capacity = {.cpuMillis = cpuMillis}});
    }

    // Returns the change of an entry's credits by messages of the last event.
    std::int32_t granted(const entry_id &entry) const
    {
        std::int32_t sum = 0;
        for (const grant_credits &one : all<grant_credits>()) {
            sum += one.entry == entry ? one.delta : 0;
        }
        return sum;
    }

    void finish(const task_id &id, const task_outcome &outcome)
    {
        handle(call_finished{.id = id, .outcome = outcome});
    }

    agent_task_status revoke(const task_id &id)
    {
        handle(revoke_received{.call = {++calls}, .from = Entry, .id = id});
        return get<answer_revoke>().held;
    }

    std::vector<agent_task_status> fence(std::uint64_t sequence = 1)
    {
        handle(fence_received{.call = {++calls}, .from = Other, .ticket = task(0, sequence).ticket});
        return get<answer_fence>().held;
    }

    template<typename Action>
    std::vector<Action> all() const
    {
        std::vector<Action> found;
        for (const agent_action &action : actions) {
            if (const Action *one = std::get_if<Action>(&action); one != nullptr) {
                found.push_back(*one);
            }
        }
        return found;
    }

    template<typename Action>
    std::size_t count() const
    {
        return all<Action>().size();
    }

    template<typename Action>
    Action get() const
    {
        return all<Action>().at(0);
    }

    null_logger log;
    mono_time now{1h};
    agent_core core;
    std::vector<agent_action> actions;
    std::uint64_t calls = 0;
};

// Checks whether the only answer refuses the start with the given reason.
bool isRefused(const agent_fixture &agent, reason why)
{
    return agent.count<answer_start>() == 1 && agent.count<call_endpoint>() == 0 && agent.get<answer_start>().outcome.verdict == task_verdict::notStarted
        && agent.get<answer_start>().outcome.why == why;
}

} // namespace

BOOST_AUTO_TEST_SUITE(agent_core_test)

// Guards against an incomplete call to the endpoint, and against an outcome that is sent to the wrong request.
BOOST_AUTO_TEST_CASE(aStartCallsTheEndpointAndIsAnsweredWithItsOutcome)
{
    agent_fixture agent;
    const call_id call = agent.start(task(0));
    BOOST_TEST((agent.get<call_endpoint>().id == task(0)));
    BOOST_TEST(agent.get<call_endpoint>().payload == "payload");
    BOOST_TEST(agent.get<call_endpoint>().kind == "check");
    BOOST_TEST(agent.get<call_endpoint>().timeLimit.count() == 10000);
    BOOST_TEST(agent.count<answer_start>() == 0U);
    agent.finish(task(0), outcome(task_verdict::succeeded, "x"));
    BOOST_TEST((agent.get<answer_start>().call == call));
    BOOST_TEST(agent.get<answer_start>().outcome.body == "x");
    BOOST_TEST(agent.get<answer_start>().credits == 1);
    BOOST_TEST(agent.count<grant_credits>() == 0U);
    agent.finish(task(0), outcome(task_verdict::failed));
    BOOST_TEST(agent.actions.empty());
}

// Guards against a second run of a task whose start arrives twice while it runs.
BOOST_AUTO_TEST_CASE(aRepeatedStartOfARunningTaskWaitsForIt)
{
    agent_fixture agent;
    const call_id first = agent.start(task(0));
    const call_id second = agent.start(task(0));
    BOOST_TEST(agent.actions.empty());
    agent.finish(task(0), outcome(task_verdict::succeeded, "x"));
    const auto answers = agent.all<answer_start>();
    BOOST_REQUIRE(answers.size() == 2U);
    BOOST_TEST((answers.at(0).call == first));
    BOOST_TEST((answers.at(1).call == second));
    BOOST_TEST(answers.at(1).outcome.body == "x");
}

// Guards against a second run of a task whose start arrives again after it ended, whatever its outcome.
BOOST_AUTO_TEST_CASE(aRepeatedStartOfAFinishedTaskIsAnsweredFromTheLedger)
{
    for (const task_verdict verdict : {task_verdict::succeeded, task_verdict::failed, task_verdict::unknown}) {
        agent_fixture agent;
        agent.start(task(0));
        agent.finish(task(0), outcome(verdict, "x"));
        const call_id again = agent.start(task(0));
        BOOST_TEST(agent.count<call_endpoint>() == 0U);
        BOOST_TEST((agent.get<answer_start>().call == again));
        BOOST_TEST((agent.get<answer_start>().outcome.verdict == verdict));
        BOOST_TEST(agent.get<answer_start>().outcome.body == "x");
    }
}

// Guards against a late start of a task that its home entry has placed elsewhere.
BOOST_AUTO_TEST_CASE(aRevokedTaskNeverStarts)
{
    agent_fixture agent;
    BOOST_TEST((agent.revoke(task(0)).state == agent_task_state::notStarted));
    agent.start(task(0));
    BOOST_TEST(isRefused(agent, reason::overloaded));
    BOOST_TEST((agent.revoke(task(0)).state == agent_task_state::notStarted));
}

// Guards against an answer to a revocation that reports a task as not started although it runs or has ended.
BOOST_AUTO_TEST_CASE(aRevocationReturnsWhatIsKnown)
{
    agent_fixture agent;
    agent.start(task(0));
    BOOST_TEST((agent.revoke(task(0)).state == agent_task_state::running));
    agent.finish(task(0), outcome(task_verdict::succeeded, "x"));
    const agent_task_status held = agent.revoke(task(0));
    BOOST_TEST((held.state == agent_task_state::finished));
    BOOST_TEST(held.outcome.body == "x");
}

// Guards against a start after the endpoint refused the connection and the home entry has placed the task elsewhere.
BOOST_AUTO_TEST_CASE(aCallThatWasNeverSentLeavesATombstone)
{
    agent_fixture agent;
    agent.start(task(0));
    agent.finish(task(0), outcome(task_verdict::notStarted));
    BOOST_TEST(isRefused(agent, reason::none));
    BOOST_TEST(agent.get<answer_start>().credits == 1);
    agent.start(task(0));
    BOOST_TEST(isRefused(agent, reason::overloaded));
    BOOST_TEST((agent.revoke(task(0)).state == agent_task_state::notStarted));
}

// Guards against a paused home entry that goes on starting tasks of a ticket that another entry has answered.
BOOST_AUTO_TEST_CASE(aFenceReturnsAllAndStopsTheTicket)
{
    agent_fixture agent;
    agent.start(task(0));
    agent.start(task(1));
    agent.finish(task(1), outcome(task_verdict::succeeded, "x"));
    agent.revoke(task(3));
    BOOST_TEST(agent.fence().size() == 3U);
    agent.start(task(2));
    BOOST_TEST(isRefused(agent, reason::outcomeUnknown));
    agent.start(task(3));
    BOOST_TEST(isRefused(agent, reason::outcomeUnknown));
    BOOST_TEST((agent.revoke(task(2)).outcome.why == reason::outcomeUnknown));
    agent.finish(task(0), outcome(task_verdict::succeeded, "y"));
    BOOST_TEST(agent.count<answer_start>() == 1U);
    BOOST_TEST(agent.fence().size() == 3U);
    agent.start(task(0, 9));
    BOOST_TEST(agent.count<call_endpoint>() == 1U);
}

// Guards against records that are dropped early to free space for new starts.
BOOST_AUTO_TEST_CASE(aFullLedgerRefusesNewStarts)
{
    agent_fixture agent(settingsWith(8, 2));
    agent.start(task(0));
    agent.start(task(1));
    agent.finish(task(1), outcome(task_verdict::succeeded, "x"));
    agent.start(task(2));
    BOOST_TEST(isRefused(agent, reason::overloaded));
    BOOST_TEST(agent.get<answer_start>().credits == 1);
    agent.start(task(1));
    BOOST_TEST(agent.get<answer_start>().outcome.body == "x");
    agent.now += 15min;
    agent.start(task(2));
    BOOST_TEST(agent.count<call_endpoint>() == 1U);
}

// Guards against a late start that runs because the ledger had no space for its tombstone.
BOOST_AUTO_TEST_CASE(withoutRoomForATombstoneTheEntryHasToAskAgain)
{
    agent_fixture agent(settingsWith(8, 1));
    agent.revoke(task(0));
    agent.revoke(task(1));
    BOOST_TEST((agent.revoke(task(2)).state == agent_task_state::running));
    BOOST_TEST((agent.fence(5).at(0).state == agent_task_state::running));
    agent.now += 15min;
    BOOST_TEST((agent.revoke(task(2)).state == agent_task_state::notStarted));
}

// Guards against more calls than slots, and against a held start that is forgotten when a slot becomes free.
BOOST_AUTO_TEST_CASE(aStartWithoutASlotIsHeldUntilOneIsFree)
{
    agent_fixture agent(settingsWith(1));
    agent.start(task(0));
    agent.start(task(1));
    BOOST_TEST(agent.actions.empty());
    agent.now += 100ms;
    agent.finish(task(0), outcome(task_verdict::succeeded));
    BOOST_REQUIRE(agent.count<call_endpoint>() == 1U);
    BOOST_TEST((agent.get<call_endpoint>().id == task(1)));
    BOOST_TEST((agent.get<call_endpoint>().timeLimit == 9900ms));
}

// Guards against a start that waits behind long tasks although another endpoint is free.
BOOST_AUTO_TEST_CASE(aHeldStartIsRefusedAfterAWhile)
{
    agent_fixture agent(settingsWith(1));
    agent.start(task(0));
    agent.start(task(1));
    BOOST_REQUIRE((agent.core.nextDue() == agent.now + 150ms));
    agent.now += 150ms;
    agent.handle(agent_timer_fired{});
    BOOST_TEST(isRefused(agent, reason::overloaded));
    agent.finish(task(0), outcome(task_verdict::succeeded));
    BOOST_TEST(agent.count<call_endpoint>() == 0U);
}

// Guards against a held start that runs after the agent has reported it as not started.
BOOST_AUTO_TEST_CASE(aHeldStartThatIsRevokedOrFencedNeverRuns)
{
    agent_fixture agent(settingsWith(2));
    agent.start(task(0));
    agent.start(task(1));
    agent.start(task(2));
    agent.start(task(0, 7));
    BOOST_TEST((agent.revoke(task(2)).state == agent_task_state::notStarted));
    BOOST_TEST(isRefused(agent, reason::overloaded));
    BOOST_TEST(agent.fence(7).empty());
    BOOST_TEST(isRefused(agent, reason::outcomeUnknown));
    agent.finish(task(0), outcome(task_verdict::succeeded));
    BOOST_TEST(agent.count<call_endpoint>() == 0U);
    agent.finish(task(1), outcome(task_verdict::succeeded));
    BOOST_TEST(agent.count<call_endpoint>() == 0U);
}

// Guards against a second run when a start is repeated while the first one is held.
BOOST_AUTO_TEST_CASE(aRepeatedStartReplacesTheHeldOne)
{
    agent_fixture agent(settingsWith(1));
    agent.start(task(0));
    const call_id first = agent.start(task(1));
    agent.start(task(1));
    BOOST_TEST(isRefused(agent, reason::overloaded));
    BOOST_TEST((agent.get<answer_start>().call == first));
    agent.finish(task(0), outcome(task_verdict::succeeded));
    BOOST_TEST(agent.count<call_endpoint>() == 1U);
    agent.finish(task(1), outcome(task_verdict::succeeded));
    BOOST_TEST(agent.count<call_endpoint>() == 0U);
}

// Guards against a held start that runs for an entry which has lost its connection and will place the task elsewhere.
BOOST_AUTO_TEST_CASE(aHeldStartEndsWithItsConnection)
{
    agent_fixture agent(settingsWith(1));
    agent.start(task(0));
    agent.start(task(1));
    agent.handle(entry_lost{.entry = Entry});
    agent.finish(task(0), outcome(task_verdict::succeeded));
    BOOST_TEST(agent.count<call_endpoint>() == 0U);
}

// Guards against a held start that runs at a draining agent.
BOOST_AUTO_TEST_CASE(aLeavingAgentRefusesHeldStarts)
{
    agent_fixture agent(settingsWith(1));
    agent.start(task(0));
    agent.start(task(1));
    agent.handle(agent_drain_started{.bound = 30s});
    BOOST_TEST(isRefused(agent, reason::draining));
    agent.finish(task(0), outcome(task_verdict::succeeded));
    BOOST_TEST(agent.count<call_endpoint>() == 0U);
    BOOST_TEST(agent.count<finish_agent_drain>() == 1U);
}

// Guards against a start that takes a slot for an entry whose connection was lost while the start waited.
BOOST_AUTO_TEST_CASE(aStartOfALostEntryIsRefused)
{
    agent_fixture agent;
    agent.handle(entry_lost{.entry = Entry});
    agent.start(task(0));
    BOOST_TEST(isRefused(agent, reason::overloaded));
    agent.handle(demand_received{.from = Entry, .queued = 5});
    BOOST_TEST(agent.actions.empty());
}

// Guards against credits that are lost with an answer to a closed connection.
BOOST_AUTO_TEST_CASE(creditsDoNotTravelWithAnAnswerToALostConnection)
{
    agent_fixture agent(settingsWith(1));
    agent.start(task(0));
    agent.handle(entry_lost{.entry = Entry});
    agent.join(Entry);
    BOOST_TEST(agent.count<grant_credits>() == 0U);
    agent.finish(task(0), outcome(task_verdict::succeeded));
    BOOST_TEST(agent.get<answer_start>().credits == 0);
    BOOST_REQUIRE(agent.count<grant_credits>() == 1U);
    BOOST_TEST((agent.get<grant_credits>().entry == Entry));
    BOOST_TEST(agent.get<grant_credits>().delta == 1);
}

// Guards against free slots that are offered to one entry only.
BOOST_AUTO_TEST_CASE(theOtherEntriesGetTheirCreditsByMessage)
{
    agent_fixture agent(settingsWith(2));
    agent.start(task(0));
    agent.start(task(1));
    agent.join(Other);
    BOOST_REQUIRE(agent.count<grant_credits>() == 1U);
    BOOST_TEST((agent.get<grant_credits>().entry == Other));
    BOOST_TEST(agent.get<grant_credits>().delta >= 1);
    agent.start(task(0, 2), Other);
    agent.finish(task(0), outcome(task_verdict::succeeded));
    BOOST_REQUIRE(agent.count<call_endpoint>() == 1U);
    BOOST_TEST((agent.get<call_endpoint>().id == task(0, 2)));
}

// Guards against a drain that interrupts running tasks, and against new tasks at a draining agent.
BOOST_AUTO_TEST_CASE(aLeavingAgentFinishesItsTasks)
{
    agent_fixture agent;
    agent.start(task(0));
    agent.handle(agent_drain_started{.bound = 1min});
    BOOST_TEST(agent.count<announce_leaving>() == 1U);
    BOOST_TEST(agent.count<finish_agent_drain>() == 0U);
    agent.start(task(1));
    BOOST_TEST(isRefused(agent, reason::draining));
    BOOST_TEST(agent.get<answer_start>().credits == 0);
    BOOST_TEST((agent.revoke(task(0)).state == agent_task_state::running));
    BOOST_TEST(agent.fence().size() == 1U);
    agent.start(task(0));
    BOOST_TEST(agent.actions.empty());
    agent.finish(task(0), outcome(task_verdict::succeeded));
    BOOST_TEST(agent.count<answer_start>() == 2U);
    BOOST_TEST(agent.count<finish_agent_drain>() == 1U);
    agent.revoke(task(5));
    BOOST_TEST(agent.count<finish_agent_drain>() == 0U);
}

// Guards against a drain that waits forever for a hanging endpoint.
BOOST_AUTO_TEST_CASE(aLeavingAgentStopsAtTheBound)
{
    agent_fixture agent;
    agent.start(task(0));
    agent.handle(agent_drain_started{.bound = 3s});
    BOOST_TEST((agent.core.nextDue() == agent.now + 3s));
    agent.now += 3s;
    agent.handle(agent_timer_fired{});
    BOOST_TEST(agent.count<finish_agent_drain>() == 1U);
    agent.handle(agent_timer_fired{});
    BOOST_TEST(agent.count<finish_agent_drain>() == 0U);
}

// Guards against a short job that misses its objective behind long tasks which could have waited.
BOOST_AUTO_TEST_CASE(theMostUrgentHeldStartRunsFirst)
{
    agent_fixture agent(settingsWith(2));
    agent.join(Other);
    agent.start(task(0), Entry, 500ms);
    agent.start(task(1), Entry, 500ms);
    agent.start(task(2), Entry, 20ms); // Has missed its objective when the slot becomes free.
    agent.start(task(3), Entry, 500ms);
    agent.start(task(0, 2), Other, 80ms);
    agent.now += 50ms;
    agent.finish(task(0), outcome(task_verdict::succeeded));
    BOOST_TEST((agent.get<call_endpoint>().id == task(0, 2)));
    agent.finish(task(0, 2), outcome(task_verdict::succeeded));
    BOOST_TEST((agent.get<call_endpoint>().id == task(3)));
    agent.finish(task(3), outcome(task_verdict::succeeded));
    BOOST_TEST((agent.get<call_endpoint>().id == task(2)));
}

// Guards against starts at an endpoint whose tasks stall, whichever entry requests them.
BOOST_AUTO_TEST_CASE(refusesStartsWhileTasksStall)
{
    agent_fixture agent(settingsWith(3));
    const auto order = [&agent](std::uint64_t sequence) {
        start_order one;
        one.id = task(0, sequence);
        one.key = "job " + std::to_string(sequence);
        one.restartable = true;
        one.timeLimit = 10s;
        agent.handle(start_received{.call = {++agent.calls}, .from = Entry, .order = one});
    };
    for (std::uint64_t job = 1; job <= 4; ++job) {
        order(job); // The fourth is held.
    }
    task_outcome stalled = outcome(task_verdict::interrupted);
    stalled.why = reason::runStalled;
    agent.finish(task(0, 1), stalled);
    agent.finish(task(0, 2), stalled);
    agent.finish(task(0, 4), stalled);
    order(5);
    BOOST_TEST(isRefused(agent, reason::noEndpoint));
    agent.now += 300ms;
    order(6); // A trial.
    BOOST_TEST(agent.count<call_endpoint>() == 1U);
    order(7);
    BOOST_TEST(isRefused(agent, reason::noEndpoint));
    agent.finish(task(0, 6), outcome(task_verdict::succeeded));
    order(8);
    BOOST_TEST(agent.count<call_endpoint>() == 1U);
}

// Guards against a run that goes on or ends without regard to the time at which its home last confirmed the session.
BOOST_AUTO_TEST_CASE(passesOnWhenTheHomeOfARunConfirmedItsSession)
{
    agent_fixture agent(settingsWithCpu(8000));
    agent.handle(entry_joined{.info = {.id = Entry, .address = "10.0.0.1:1", .failureDomain = "a"}, .confirmedAt = agent.now - 5ms});
    agent.handle(entry_confirmed{.entry = Entry, .at = agent.now - 2ms});
    BOOST_TEST(agent.count<confirm_home>() == 0U); // The next start carries it.
    agent.startSized(task(0), 3000);
    const auto call = agent.get<call_endpoint>();
    BOOST_TEST(call.homeSession != 0U);
    BOOST_TEST((call.homeConfirmedAt == agent.now - 2ms));
    agent.handle(entry_confirmed{.entry = Entry, .at = agent.now + 100ms});
    BOOST_REQUIRE(agent.count<confirm_home>() == 1U);
    BOOST_TEST(agent.get<confirm_home>().session == call.homeSession);
    BOOST_TEST((agent.get<confirm_home>().at == agent.now + 100ms));
    agent.handle(entry_joined{.info = {.id = Entry, .address = "10.0.0.1:1", .failureDomain = "a"}, .confirmedAt = agent.now});
    BOOST_TEST(agent.count<stop_call>() == 1U);
    agent.handle(entry_confirmed{.entry = Entry, .at = agent.now + 200ms});
    BOOST_TEST(agent.count<confirm_home>() == 0U); // It confirms the new session, on which the run does not depend.
}

// Guards against starts at an endpoint that announces zero resources, and against credits that invite them.
BOOST_AUTO_TEST_CASE(anEndpointWithZeroResourcesStartsNothing)
{
    agent_fixture agent(settingsWithCpu(0));
    BOOST_TEST(agent.granted(Entry) == 0);
    agent.startSized(task(0), 3000);
    BOOST_TEST(isRefused(agent, reason::overloaded));
}

// Guards against a start that exceeds a capacity which has shrunk below what runs, and against one beside a run that is still
// being stopped. What runs must not be stopped because of the change.
BOOST_AUTO_TEST_CASE(startsNothingAboveAShrunkCapacity)
{
    agent_fixture agent(settingsWithCpu(8000));
    agent.startSized(task(0), 4000);
    agent.startSized(task(1), 4000);
    agent.resize(4000);
    BOOST_TEST(agent.count<stop_call>() == 0U);
    agent.startSized(task(2), 1000);
    BOOST_TEST(agent.actions.empty()); // Held.
    agent.handle(stop_received{.from = Entry, .id = task(0)});
    BOOST_TEST(agent.count<stop_call>() == 1U);
    BOOST_TEST(agent.count<call_endpoint>() == 0U);
    agent.finish(task(0), outcome(task_verdict::interrupted));
    BOOST_TEST(agent.count<call_endpoint>() == 0U);
    agent.finish(task(1), outcome(task_verdict::succeeded));
    BOOST_REQUIRE(agent.count<call_endpoint>() == 1U);
    BOOST_TEST((agent.get<call_endpoint>().id == task(2)));
}

// Guards against held starts that wait for the end of a task although the capacity has grown.
BOOST_AUTO_TEST_CASE(startsHeldTasksWhenTheCapacityGrows)
{
    agent_fixture agent(settingsWithCpu(4000));
    agent.startSized(task(0), 4000);
    agent.startSized(task(1), 4000);
    agent.startSized(task(2), 4000);
    BOOST_TEST(agent.actions.empty());
    agent.resize(8000);
    BOOST_REQUIRE(agent.count<call_endpoint>() == 1U);
    BOOST_TEST((agent.get<call_endpoint>().id == task(1)));
    agent.resize(12000);
    BOOST_REQUIRE(agent.count<call_endpoint>() == 1U);
    BOOST_TEST((agent.get<call_endpoint>().id == task(2)));
}

// Guards against entries that go on sending starts to an endpoint that has shrunk, and against a grown one that they ignore
// because no task of theirs ends there.
BOOST_AUTO_TEST_CASE(adjustsTheCreditsToTheCapacity)
{
    agent_fixture agent(settingsWithCpu(32000));
    BOOST_TEST(agent.granted(Entry) == 8);
    agent.join(Other);
    BOOST_TEST(agent.granted(Other) == 6);
    agent.startSized(task(0), 4000); // Eight of this size fit; Entry has seven credits left.
    agent.resize(4000);
    BOOST_TEST(agent.granted(Entry) == -7);
    BOOST_TEST(agent.granted(Other) == -6);
    agent.resize(32000);
    BOOST_TEST(agent.granted(Entry) == 5);
    BOOST_TEST(agent.granted(Other) == 5);
}

// Guards against a held start that waits for room which the endpoint no longer has.
BOOST_AUTO_TEST_CASE(refusesHeldStartsThatNoLongerFit)
{
    agent_fixture agent(settingsWithCpu(8000));
    agent.startSized(task(0), 8000);
    agent.startSized(task(1), 6000);
    agent.startSized(task(2), 3000);
    agent.resize(4000);
    BOOST_TEST(isRefused(agent, reason::overloaded));
    BOOST_TEST((agent.get<answer_start>().id == task(1)));
    agent.finish(task(0), outcome(task_verdict::succeeded));
    BOOST_REQUIRE(agent.count<call_endpoint>() == 1U);
    BOOST_TEST((agent.get<call_endpoint>().id == task(2)));
}

// Guards against an endpoint that counts as unlimited once its capacity has shrunk to zero.
BOOST_AUTO_TEST_CASE(aCapacityOfZeroAdmitsNothing)
{
    agent_fixture agent(settingsWithCpu(8000));
    agent.resize(0);
    BOOST_TEST(agent.granted(Entry) == -8);
    agent.startSized(task(0), 1000);
    BOOST_TEST(isRefused(agent, reason::overloaded));
    agent.resize(8000);
    BOOST_TEST(agent.granted(Entry) > 0);
    agent.startSized(task(1), 1000);
    BOOST_TEST(agent.count<call_endpoint>() == 1U);
}

// Guards against credits granted by a draining agent whose endpoint grows.
BOOST_AUTO_TEST_CASE(aDrainingAgentGrantsNothingWhenTheCapacityGrows)
{
    agent_fixture agent(settingsWithCpu(4000));
    agent.startSized(task(0), 4000);
    agent.handle(agent_drain_started{.bound = 30s});
    agent.resize(8000);
    BOOST_TEST(agent.actions.empty());
}

// Guards against an entry that places the task of a crashed endpoint there again, because the answer arrives before the report,
// and against a crash that counts once for each of its runs.
BOOST_AUTO_TEST_CASE(aCrashIsReportedOnceBeforeTheAnswers)
{
    agent_fixture agent;
    agent.startKind(task(0), "lookup");
    agent.startKind(task(1), "check");
    agent.startKind(task(2), "lookup");
    agent.finish(task(0), lostInCrash());
    BOOST_REQUIRE(agent.actions.size() >= 2U);
    BOOST_REQUIRE(std::holds_alternative<report_crash>(agent.actions.front()));
    const std::vector<crash_suspect> suspects = agent.get<report_crash>().suspects;
    BOOST_REQUIRE(suspects.size() == 2U);
    BOOST_TEST(suspects[0].kind == "check");
    BOOST_TEST(suspects[1].kind == "lookup");
    BOOST_TEST(!suspects[0].isRepeated);
    BOOST_TEST(!suspects[1].isRepeated);
    BOOST_TEST(agent.get<answer_start>().outcome.endpointCrashed);
    agent.finish(task(1), lostInCrash());
    BOOST_TEST(agent.count<report_crash>() == 0U);
    BOOST_TEST(agent.get<answer_start>().outcome.endpointCrashed);
}

// Guards against a task that crashes one endpoint after the other unnoticed, and against the tasks beside it that are blamed.
BOOST_AUTO_TEST_CASE(aKindThatCrashesAnotherEndpointAtTheSameAgeIsRepeated)
{
    agent_fixture agent;
    agent.startKind(task(0), "lookup", 12ms);
    agent.now += 500ms;
    agent.startKind(task(1), "check", 12ms);
    agent.now += 14ms;
    agent.finish(task(1), lostInCrash());
    const std::vector<crash_suspect> suspects = agent.get<report_crash>().suspects;
    BOOST_REQUIRE(suspects.size() == 2U);
    BOOST_TEST(suspects[0].isRepeated);
    BOOST_TEST(!suspects[1].isRepeated);
}

// Guards against blaming a task whose start reached the endpoint only after the crash. Its age is then close to that of any
// earlier crash of a task that crashes its endpoint within milliseconds.
BOOST_AUTO_TEST_CASE(aTaskThatHasNotStartedIsNoSuspect)
{
    agent_fixture agent;
    agent.startKind(task(0), "lookup");
    agent.now += 100ms;
    agent.startKind(task(1), "check", 12ms);
    agent.now += 2ms;
    agent.handle(call_finished{.id = task(0), .outcome = lostInCrash(), .unstarted = {task(1)}});
    const std::vector<crash_suspect> suspects = agent.get<report_crash>().suspects;
    BOOST_REQUIRE(suspects.size() == 1U);
    BOOST_TEST(suspects[0].kind == "lookup");
}

// Guards against blaming tasks for the planned end of an endpoint.
BOOST_AUTO_TEST_CASE(theEndOfADrainingEndpointIsNoCrash)
{
    agent_fixture agent;
    agent.start(task(0));
    agent.handle(agent_drain_started{.bound = 1min});
    agent.finish(task(0), lostInCrash());
    BOOST_TEST(agent.count<report_crash>() == 0U);
    BOOST_TEST(!agent.get<answer_start>().outcome.endpointCrashed);
    BOOST_TEST(!agent.revoke(task(0)).outcome.endpointCrashed);
}

// Guards against outcomes of a crash that lose their mark because the agent starts to drain after it.
BOOST_AUTO_TEST_CASE(aDrainAfterACrashKeepsItsOutcomes)
{
    agent_fixture agent;
    agent.start(task(0));
    agent.start(task(1));
    agent.finish(task(0), lostInCrash());
    agent.handle(agent_drain_started{.bound = 1min});
    agent.finish(task(1), lostInCrash());
    BOOST_TEST(agent.get<answer_start>().outcome.endpointCrashed);
    BOOST_TEST(agent.count<report_crash>() == 0U);
}

// Guards against starts at an endpoint that is gone, whether they arrive later or were held.
BOOST_AUTO_TEST_CASE(nothingStartsAfterACrash)
{
    agent_fixture agent(settingsWith(1));
    agent.start(task(0));
    const call_id held = agent.start(task(1));
    agent.finish(task(0), lostInCrash());
    BOOST_TEST(agent.count<call_endpoint>() == 0U);
    const auto answers = agent.all<answer_start>();
    BOOST_REQUIRE(answers.size() == 2U);
    BOOST_TEST((answers[0].call == held));
    BOOST_TEST((answers[0].outcome.verdict == task_verdict::notStarted));
    BOOST_TEST((answers[0].outcome.why == reason::draining));
    BOOST_TEST(answers[1].credits <= 0);
    agent.start(task(2));
    BOOST_TEST(isRefused(agent, reason::draining));
    BOOST_TEST(agent.get<answer_start>().credits == 0);
    agent.join(Other);
    BOOST_TEST(agent.count<grant_credits>() == 0U);
    agent.start(task(0, 2), Other);
    BOOST_TEST(isRefused(agent, reason::draining));
}

// Guards against timer wake-ups of an idle agent.
BOOST_AUTO_TEST_CASE(anIdleAgentWantsNoTimer)
{
    agent_fixture agent;
    BOOST_TEST((agent.core.nextDue() == mono_time::max()));
}

BOOST_AUTO_TEST_SUITE_END()
