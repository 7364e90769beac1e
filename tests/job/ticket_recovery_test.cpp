#include "job/entry_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

const ticket Foreign{.home = "10.0.0.2:1", .id = {.incarnation = 200, .sequence = 3}, .issuedAt = {}};

// An entry with two agents that received a job of two tasks whose home entry is gone.
struct dead_home {
    dead_home()
    {
        entry.joinAgent(1);
        entry.joinAgent(2);
        first = submit();
    }

    request_id submit()
    {
        const request_id request = entry.submit(entry.jobFor(Foreign, 2));
        if (entry.count<forward_job>() == 1) {
            entry.handle(forward_answered{.request = request, .reached = true, .otherIncarnation = true, .answer = {}});
        }
        return request;
    }

    static agent_task_status held(std::uint32_t index, agent_task_state state, task_verdict verdict = task_verdict::succeeded, const std::string &body = {})
    {
        return {.id = {.ticket = Foreign.id, .index = index}, .state = state, .outcome = entry_fixture::outcome(verdict, body)};
    }

    void fenced(std::uint64_t agent, std::vector<agent_task_status> held, bool answered = true)
    {
        entry.handle(ticket_fenced{.agent = {agent}, .ticket = Foreign.id, .answered = answered, .held = std::move(held)});
    }

    entry_fixture entry;
    request_id first;
};

} // namespace

BOOST_AUTO_TEST_SUITE(ticket_recovery_test)

// Guards against losing results that the agents still hold when the home entry is gone.
BOOST_AUTO_TEST_CASE(heldResultsMakeTheAnswerComplete)
{
    dead_home dead;
    BOOST_TEST(dead.entry.count<fence_ticket>() == 2U);
    dead.fenced(1, {dead_home::held(1, agent_task_state::finished, task_verdict::succeeded, "b")});
    BOOST_TEST(dead.entry.count<reply_job>() == 0U);
    dead.fenced(2, {dead_home::held(0, agent_task_state::finished, task_verdict::succeeded, "a")});
    const reply_job reply = dead.entry.get<reply_job>();
    BOOST_TEST((reply.request == dead.first));
    BOOST_TEST((reply.answer.state == job_state::complete));
    BOOST_TEST((reply.answer.results == std::vector<std::string>{"a", "b"}));
}

// Guards against a partial answer, and against "not run" when an unknown agent may have run a task.
BOOST_AUTO_TEST_CASE(aMissingResultIsAnUnknownOutcome)
{
    dead_home dead;
    dead.fenced(1, {dead_home::held(1, agent_task_state::finished, task_verdict::succeeded, "b")});
    dead.fenced(2, {dead_home::held(0, agent_task_state::notStarted)});
    const job_answer answer = dead.entry.get<reply_job>().answer;
    BOOST_TEST((answer.state == job_state::failed));
    BOOST_TEST((answer.why == reason::outcomeUnknown));
    BOOST_TEST(!answer.notRun);
    BOOST_TEST(answer.results.empty());
}

// Guards against "not run" when no agent holds anything.
BOOST_AUTO_TEST_CASE(nothingHeldIsAnUnknownOutcome)
{
    dead_home dead;
    dead.fenced(1, {});
    dead.fenced(2, {});
    BOOST_TEST((dead.entry.get<reply_job>().answer.why == reason::outcomeUnknown));
    BOOST_TEST(!dead.entry.get<reply_job>().answer.notRun);
}

// Guards against reporting an unknown outcome while a task of the ticket is still running.
BOOST_AUTO_TEST_CASE(aRunningTaskIsPolledAgain)
{
    dead_home dead;
    dead.fenced(1, {dead_home::held(1, agent_task_state::finished, task_verdict::succeeded, "b")});
    dead.fenced(2, {dead_home::held(0, agent_task_state::running)});
    BOOST_TEST(dead.entry.count<reply_job>() == 0U);
    dead.entry.advance(100ms);
    BOOST_TEST((dead.entry.get<fence_ticket>().agent == agent_id{2}));
    dead.fenced(2, {dead_home::held(0, agent_task_state::finished, task_verdict::succeeded, "a")});
    BOOST_TEST((dead.entry.get<reply_job>().answer.state == job_state::complete));
}

// Guards against a caller that waits forever for an agent that does not answer.
BOOST_AUTO_TEST_CASE(theDeadlineEndsARecovery)
{
    dead_home dead;
    dead.fenced(1, {});
    dead.fenced(2, {}, false);
    BOOST_TEST(dead.entry.count<reply_job>() == 0U);
    dead.entry.advance(100ms);
    BOOST_TEST(dead.entry.count<fence_ticket>() == 1U);
    dead.entry.advance(10s);
    BOOST_TEST((dead.entry.get<reply_job>().answer.why == reason::outcomeUnknown));
    dead.fenced(2, {dead_home::held(0, agent_task_state::running)});
    BOOST_TEST(dead.entry.actions.empty());
}

// Guards against waiting for the deadline although the agent that did not answer has been restarted.
BOOST_AUTO_TEST_CASE(aReplacedAgentIsNotFencedAgain)
{
    dead_home dead;
    dead.fenced(1, {});
    dead.entry.joinAgent(3, 8, "10.1.0.2:1");
    const auto fences = dead.entry.all<fence_ticket>();
    BOOST_REQUIRE(dead.entry.count<reply_job>() == 1U);
    BOOST_TEST((dead.entry.get<reply_job>().answer.why == reason::outcomeUnknown));
}

// Guards against an agent that registers during the recovery and still starts tasks of the ticket.
BOOST_AUTO_TEST_CASE(anAgentThatRegistersIsFenced)
{
    dead_home dead;
    dead.fenced(1, {});
    dead.entry.joinAgent(3);
    BOOST_TEST((dead.entry.get<fence_ticket>().agent == agent_id{3}));
    dead.fenced(2, {});
    BOOST_TEST(dead.entry.count<reply_job>() == 0U);
    dead.fenced(3, {});
    BOOST_TEST(dead.entry.count<reply_job>() == 1U);
}

// Guards against two recoveries of one ticket, which would fence every agent twice and could give different answers.
BOOST_AUTO_TEST_CASE(resubmissionsShareOneRecovery)
{
    dead_home dead;
    const request_id second = dead.submit();
    BOOST_TEST(dead.entry.count<fence_ticket>() == 0U);
    job_request other = dead.entry.jobFor(Foreign, 3);
    dead.entry.submit(other);
    BOOST_TEST((dead.entry.get<reply_job>().answer.why == reason::ticketReused));
    dead.entry.query(Foreign);
    BOOST_TEST((dead.entry.get<reply_job>().answer.state == job_state::running));
    dead.fenced(1, {dead_home::held(1, agent_task_state::finished, task_verdict::succeeded, "b")});
    dead.fenced(2, {dead_home::held(0, agent_task_state::finished, task_verdict::succeeded, "a")});
    const auto replies = dead.entry.all<reply_job>();
    BOOST_REQUIRE(replies.size() == 2U);
    BOOST_TEST((replies.at(1).request == second));
    BOOST_TEST(replies.at(1).answer.results == replies.at(0).answer.results);
    dead.submit();
    BOOST_TEST(dead.entry.get<reply_job>().answer.results == replies.at(0).answer.results);
    dead.entry.query(Foreign);
    BOOST_TEST(dead.entry.get<reply_job>().answer.results == replies.at(0).answer.results);
    BOOST_TEST(dead.entry.count<fence_ticket>() == 0U);
}

// Guards against waiting for other tasks although one is known to have failed.
BOOST_AUTO_TEST_CASE(aHeldFailureFailsTheJob)
{
    dead_home dead;
    dead.fenced(1, {dead_home::held(1, agent_task_state::finished, task_verdict::failed)});
    BOOST_TEST((dead.entry.get<reply_job>().answer.why == reason::taskFailed));
    BOOST_TEST(!dead.entry.get<reply_job>().answer.notRun);
}

// Guards against out-of-range access when an agent returns a task index beyond the size of the job.
BOOST_AUTO_TEST_CASE(tasksThatTheJobDoesNotHaveAreIgnored)
{
    dead_home dead;
    dead.fenced(1, {dead_home::held(99, agent_task_state::finished, task_verdict::succeeded, "x")});
    dead.fenced(2, {});
    BOOST_TEST((dead.entry.get<reply_job>().answer.why == reason::outcomeUnknown));
}

// Guards against a final answer from an entry that does not know any agent yet.
BOOST_AUTO_TEST_CASE(withoutAgentsTheCallerIsToTryAgain)
{
    entry_fixture entry;
    const request_id request = entry.submit(entry.jobFor(Foreign));
    entry.handle(forward_answered{.request = request, .reached = true, .otherIncarnation = true, .answer = {}});
    BOOST_TEST((entry.get<reply_job>().answer.why == reason::homeUnreachable));
    BOOST_TEST(!entry.get<reply_job>().answer.notRun);
    BOOST_TEST(entry.get<reply_job>().answer.retryAfter.count() > 0);
}

// Guards against recovered answers that are kept forever.
BOOST_AUTO_TEST_CASE(aRecoveredAnswerIsKeptForTheLifetime)
{
    dead_home dead;
    dead.fenced(1, {});
    dead.fenced(2, {});
    dead.entry.advance(9min);
    dead.submit();
    BOOST_TEST(dead.entry.count<reply_job>() == 1U);
    dead.entry.now += 2min;
    dead.entry.handle(timer_fired{});
    dead.submit();
    BOOST_TEST(dead.entry.count<fence_ticket>() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
