#include "job/entry_fixture.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

// An entry with a job of one task that was placed at agent 1.
struct placed_task {
    placed_task()
    {
        entry.joinAgent(1, 1);
        source = entry.issue();
        entry.submit(entry.jobFor(source));
        start = entry.get<start_task>();
    }

    entry_fixture entry;
    ticket source;
    start_task start;
};

} // namespace

BOOST_AUTO_TEST_SUITE(task_placer_test)

// Guards against more starts than credits, and against starts without the queue size.
BOOST_AUTO_TEST_CASE(tasksStartWithinTheCredits)
{
    entry_fixture entry;
    entry.joinAgent(1, 3);
    entry.submit(entry.jobFor(entry.issue(), 5));
    const auto starts = entry.all<start_task>();
    BOOST_REQUIRE(starts.size() == 3U);
    BOOST_TEST(starts.back().order.demand == 2U);
    BOOST_TEST(starts.front().order.payload == "payload 0");
    BOOST_TEST(starts.front().order.kind == "check");
    BOOST_TEST(starts.front().order.team == "team");
    entry.handle(credits_granted{.agent = {1}, .delta = 1});
    BOOST_TEST(entry.count<start_task>() == 1U);
    entry.finish(starts.at(0), entry_fixture::outcome(task_verdict::succeeded), 0);
    BOOST_TEST(entry.count<start_task>() == 0U);
    entry.finish(starts.at(1), entry_fixture::outcome(task_verdict::succeeded), 1);
    BOOST_TEST(entry.count<start_task>() == 1U);
}

// Guards against late, repeated or mismatched answers that are applied to a task.
BOOST_AUTO_TEST_CASE(answersThatFitNoPlacementAreIgnored)
{
    placed_task placed;
    placed.entry.handle(task_finished{.agent = {9}, .id = placed.start.order.id, .outcome = entry_fixture::outcome(task_verdict::failed), .credits = 0});
    BOOST_TEST(placed.entry.actions.empty());
    task_id other = placed.start.order.id;
    other.index = 99;
    placed.entry.handle(task_finished{.agent = {1}, .id = other, .outcome = entry_fixture::outcome(task_verdict::succeeded), .credits = 0});
    other.ticket.sequence = 99;
    placed.entry.handle(task_finished{.agent = {1}, .id = other, .outcome = entry_fixture::outcome(task_verdict::succeeded), .credits = 0});
    BOOST_TEST(placed.entry.actions.empty());
    placed.entry.succeed(placed.start, "right");
    BOOST_TEST(placed.entry.get<reply_job>().answer.results.at(0) == "right");
    placed.entry.finish(placed.start, entry_fixture::outcome(task_verdict::failed));
    BOOST_TEST(placed.entry.actions.empty());
    placed.entry.submit(placed.entry.jobFor(placed.source));
    BOOST_TEST(placed.entry.get<reply_job>().answer.results.at(0) == "right");
}

// Guards against credits that are lost with a late answer, which would leave the entry without credits over time.
BOOST_AUTO_TEST_CASE(aLateAnswerStillReturnsItsCredit)
{
    placed_task placed;
    placed.entry.cancel(placed.source);
    placed.entry.succeed(placed.start);
    placed.entry.submit(placed.entry.jobFor(placed.entry.issue()));
    BOOST_TEST(placed.entry.count<start_task>() == 1U);
}

// Guards against a second start while the outcome of the first is unknown.
BOOST_AUTO_TEST_CASE(anUnansweredStartIsRevokedWithGrowingDelays)
{
    placed_task placed;
    placed.entry.joinAgent(2, 8);
    placed.entry.handle(start_unanswered{.agent = {1}, .id = placed.start.order.id});
    BOOST_TEST((placed.entry.get<revoke_task>().agent == agent_id{1}));
    BOOST_TEST((placed.entry.get<revoke_task>().id == placed.start.order.id));
    BOOST_TEST(placed.entry.count<start_task>() == 0U);
    placed.entry.advance(100ms);
    BOOST_TEST(placed.entry.count<revoke_task>() == 1U);
    placed.entry.advance(9s);
    BOOST_TEST(placed.entry.count<start_task>() == 0U);
    BOOST_TEST(placed.entry.count<revoke_task>() <= 9U);
    BOOST_TEST(placed.entry.count<revoke_task>() >= 3U);
}

// Guards against a task that is lost after its agent has reported that it was not started.
BOOST_AUTO_TEST_CASE(aRevokedTaskIsPlacedElsewhere)
{
    placed_task placed;
    placed.entry.joinAgent(2, 8);
    placed.entry.handle(agent_lost{.agent = {1}});
    BOOST_TEST(placed.entry.count<start_task>() == 0U);
    placed.entry.advance(100ms);
    BOOST_TEST(placed.entry.count<revoke_task>() == 1U);
    placed.entry.revoked(placed.start, agent_task_state::notStarted);
    const start_task second = placed.entry.get<start_task>();
    BOOST_TEST((second.agent == agent_id{2}));
    BOOST_TEST((second.order.id == placed.start.order.id));
    placed.entry.succeed(placed.start, "late");
    BOOST_TEST(placed.entry.actions.empty());
    placed.entry.succeed(second, "right");
    BOOST_TEST(placed.entry.get<reply_job>().answer.results.at(0) == "right");
}

// Guards against an outcome that is lost with the connection although the agent holds it.
BOOST_AUTO_TEST_CASE(aRevocationReturnsTheOutcome)
{
    placed_task placed;
    placed.entry.handle(agent_lost{.agent = {1}});
    placed.entry.joinAgent(1, 0);
    BOOST_TEST(placed.entry.count<revoke_task>() == 1U);
    placed.entry.revoked(placed.start, agent_task_state::running);
    BOOST_TEST(placed.entry.actions.empty());
    placed.entry.advance(200ms);
    BOOST_TEST(placed.entry.count<revoke_task>() >= 1U);
    placed.entry.revoked(placed.start, agent_task_state::finished, entry_fixture::outcome(task_verdict::succeeded, "held"));
    BOOST_TEST(placed.entry.get<reply_job>().answer.results.at(0) == "held");
}

// Guards against the loss of an answer that arrives on the old connection while its start is being revoked.
BOOST_AUTO_TEST_CASE(anAnswerDuringTheRevocationCounts)
{
    placed_task placed;
    placed.entry.handle(start_unanswered{.agent = {1}, .id = placed.start.order.id});
    placed.entry.succeed(placed.start, "in time");
    BOOST_TEST(placed.entry.get<reply_job>().answer.results.at(0) == "in time");
    placed.entry.revoked(placed.start, agent_task_state::notStarted);
    BOOST_TEST(placed.entry.actions.empty());
    placed.entry.advance(5s);
    BOOST_TEST(placed.entry.count<revoke_task>() == 0U);
}

// Guards against a repeated answer to a revocation that is applied to a newer placement.
BOOST_AUTO_TEST_CASE(aSecondAnswerToARevocationIsIgnored)
{
    placed_task placed;
    placed.entry.handle(start_unanswered{.agent = {1}, .id = placed.start.order.id});
    placed.entry.handle(credits_granted{.agent = {1}, .delta = 8});
    placed.entry.revoked(placed.start, agent_task_state::notStarted);
    BOOST_TEST(placed.entry.count<start_task>() == 1U);
    placed.entry.revoked(placed.start, agent_task_state::notStarted);
    BOOST_TEST(placed.entry.actions.empty());
    placed.entry.succeed(placed.start, "second");
    BOOST_TEST(placed.entry.get<reply_job>().answer.results.at(0) == "second");
}

// Guards against a lost credit when a start arrives after its revocation and is refused because of the tombstone.
BOOST_AUTO_TEST_CASE(aRefusedLateStartReturnsItsCredit)
{
    placed_task placed;
    placed.entry.handle(start_unanswered{.agent = {1}, .id = placed.start.order.id});
    placed.entry.revoked(placed.start, agent_task_state::notStarted);
    BOOST_TEST(placed.entry.count<start_task>() == 0U);
    placed.entry.finish(placed.start, entry_fixture::outcome(task_verdict::notStarted), 1);
    BOOST_TEST(placed.entry.count<start_task>() == 1U);
}

// Guards against a second start after the agent was restarted and the ledger with the first one is gone.
BOOST_AUTO_TEST_CASE(aNewIncarnationMakesTheOutcomeUnknown)
{
    placed_task placed;
    placed.entry.handle(agent_lost{.agent = {1}});
    placed.entry.joinAgent(2, 8, "10.1.0.1:1");
    BOOST_TEST(placed.entry.count<start_task>() == 0U);
    BOOST_TEST((placed.entry.get<reply_job>().answer.state == job_state::failed));
    BOOST_TEST((placed.entry.get<reply_job>().answer.why == reason::outcomeUnknown));
    BOOST_TEST(!placed.entry.get<reply_job>().answer.notRun);
}

// Guards against reporting only an exceeded deadline although the outcome of a task is unknown.
BOOST_AUTO_TEST_CASE(noAnswerUntilTheDeadlineMakesTheOutcomeUnknown)
{
    placed_task placed;
    placed.entry.handle(agent_lost{.agent = {1}});
    placed.entry.advance(10s);
    BOOST_TEST((placed.entry.get<reply_job>().answer.why == reason::outcomeUnknown));
    BOOST_TEST(!placed.entry.get<reply_job>().answer.notRun);
    placed.entry.advance(1min);
    BOOST_TEST(placed.entry.count<revoke_task>() == 0U);
}

// Guards against an unknown outcome when the agent has reported that the task is running.
BOOST_AUTO_TEST_CASE(aTaskKnownToRunIsLateAtTheDeadline)
{
    placed_task placed;
    placed.entry.handle(start_unanswered{.agent = {1}, .id = placed.start.order.id});
    placed.entry.revoked(placed.start, agent_task_state::running);
    placed.entry.advance(10s);
    BOOST_TEST((placed.entry.get<reply_job>().answer.why == reason::deadlineExceeded));
    BOOST_TEST(!placed.entry.get<reply_job>().answer.notRun);
}

// Guards against an entry that was paused and keeps placing tasks although another entry may have fenced their tickets.
BOOST_AUTO_TEST_CASE(aPausedHomeRevokesBeforeItPlacesAgain)
{
    placed_task placed;
    placed.entry.now += 2100ms;
    placed.entry.handle(timer_fired{});
    BOOST_TEST(placed.entry.count<revoke_task>() == 0U);
    placed.entry.advance(100ms);
    BOOST_TEST((placed.entry.get<revoke_task>().id == placed.start.order.id));
}

// Guards against an idle entry that takes the time between two events for a pause.
BOOST_AUTO_TEST_CASE(anIdleHomeIsNotTakenForAPausedOne)
{
    placed_task placed;
    placed.entry.advance(5s);
    BOOST_TEST(placed.entry.count<revoke_task>() == 0U);
    BOOST_TEST(placed.entry.wakeups <= 6U);
}

// Guards against a second answer from the home entry after another entry has fenced the ticket and answered.
BOOST_AUTO_TEST_CASE(aFencedStartFailsTheJob)
{
    placed_task placed;
    placed.entry.finish(placed.start, entry_fixture::outcome(task_verdict::notStarted, {}, reason::outcomeUnknown));
    BOOST_TEST(placed.entry.count<start_task>() == 0U);
    BOOST_TEST((placed.entry.get<reply_job>().answer.why == reason::outcomeUnknown));
    BOOST_TEST(!placed.entry.get<reply_job>().answer.notRun);

    placed_task other;
    other.entry.handle(start_unanswered{.agent = {1}, .id = other.start.order.id});
    other.entry.revoked(other.start, agent_task_state::notStarted, entry_fixture::outcome(task_verdict::notStarted, {}, reason::outcomeUnknown));
    BOOST_TEST((other.entry.get<reply_job>().answer.why == reason::outcomeUnknown));
    BOOST_TEST(!other.entry.get<reply_job>().answer.notRun);
}

// Guards against a run with an unknown verdict that is reported as an ordinary failure or repeated.
BOOST_AUTO_TEST_CASE(anUnknownVerdictIsAnUnknownOutcome)
{
    placed_task placed;
    placed.entry.finish(placed.start, entry_fixture::outcome(task_verdict::unknown));
    BOOST_TEST((placed.entry.get<reply_job>().answer.why == reason::outcomeUnknown));
    BOOST_TEST(placed.entry.count<start_task>() == 0U);
}

// Guards against losing tasks that an agent still runs while it shuts down, and against new starts for it.
BOOST_AUTO_TEST_CASE(aLeavingAgentFinishesItsTasks)
{
    placed_task placed;
    placed.entry.handle(agent_leaving{.agent = {1}});
    placed.entry.handle(credits_granted{.agent = {1}, .delta = 5});
    placed.entry.submit(placed.entry.jobFor(placed.entry.issue()));
    BOOST_TEST(placed.entry.count<start_task>() == 0U);
    placed.entry.succeed(placed.start);
    BOOST_TEST((placed.entry.get<reply_job>().answer.state == job_state::complete));
}

BOOST_AUTO_TEST_SUITE_END()
