#include "job/entry_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

// Returns whether an answer without results has the expected state, reason and "not run" flag.
bool matches(const job_answer &answer, job_state state, reason why, bool notRun)
{
    return answer.state == state && answer.why == why && answer.notRun == notRun && answer.results.empty();
}

} // namespace

BOOST_AUTO_TEST_SUITE(job_manager_test)

// Guards against a job that is accepted under a ticket that this entry never issued.
BOOST_AUTO_TEST_CASE(aTicketThatWasNeverIssuedIsRefused)
{
    entry_fixture entry;
    entry.joinAgent(1);
    ticket source = entry.issue();
    ++source.id.sequence;
    entry.submit(entry.jobFor(source));
    BOOST_TEST(matches(entry.get<reply_job>().answer, job_state::refused, reason::badTicket, true));
}

// Guards against a job that starts under an expired ticket, and against "not run" after the record of the job has been dropped.
BOOST_AUTO_TEST_CASE(anExpiredTicketStartsNothingAndDoesNotSayNotRun)
{
    entry_fixture entry;
    entry.joinAgent(1);
    const ticket used = entry.issue();
    const ticket unused = entry.issue();
    entry.submit(entry.jobFor(used));
    entry.succeed(entry.get<start_task>());
    entry.advance(10min + 2s);
    entry.submit(entry.jobFor(used));
    BOOST_TEST(matches(entry.get<reply_job>().answer, job_state::refused, reason::ticketExpired, false));
    entry.submit(entry.jobFor(unused));
    BOOST_TEST(matches(entry.get<reply_job>().answer, job_state::refused, reason::ticketExpired, false));
    BOOST_TEST(entry.count<start_task>() == 0U);
    entry.query(used);
    BOOST_TEST(matches(entry.get<reply_job>().answer, job_state::refused, reason::ticketExpired, false));
}

// Guards against a kept answer that is not returned because its ticket has expired.
BOOST_AUTO_TEST_CASE(aKeptAnswerIsReturnedAfterTheTicketExpired)
{
    entry_fixture entry;
    entry.joinAgent(1);
    const ticket source = entry.issue();
    entry.advance(9min);
    entry.submit(entry.jobFor(source));
    entry.succeed(entry.get<start_task>(), "done");
    entry.advance(5min);
    entry.submit(entry.jobFor(source));
    BOOST_TEST(entry.get<reply_job>().answer.results.at(0) == "done");
    BOOST_TEST(entry.count<start_task>() == 0U);
}

// Guards against different content under a used ticket that runs or gets the answer of the first submission.
BOOST_AUTO_TEST_CASE(otherContentUnderAUsedTicketIsRefused)
{
    entry_fixture entry;
    entry.joinAgent(1);
    const ticket source = entry.issue();
    entry.submit(entry.jobFor(source));
    const start_task start = entry.get<start_task>();
    job_request other = entry.jobFor(source);
    other.payloads.at(0) += "!";
    entry.submit(other);
    BOOST_TEST(matches(entry.get<reply_job>().answer, job_state::refused, reason::ticketReused, false));
    entry.succeed(start);
    entry.submit(other);
    BOOST_TEST(matches(entry.get<reply_job>().answer, job_state::refused, reason::ticketReused, false));
    BOOST_TEST(entry.count<start_task>() == 0U);
}

// Guards against jobs that can never run but are queued until their deadline.
BOOST_AUTO_TEST_CASE(jobsThatCanNeverRunAreRefusedAtOnce)
{
    entry_fixture entry;
    entry.submit(entry.jobFor(entry.issue()));
    BOOST_TEST(matches(entry.get<reply_job>().answer, job_state::refused, reason::noEndpoint, true));
    BOOST_TEST(entry.get<reply_job>().answer.retryAfter.count() > 0);
    entry.joinAgent(1);
    job_request unknown = entry.jobFor(entry.issue());
    unknown.kind = "other";
    entry.submit(unknown);
    BOOST_TEST(matches(entry.get<reply_job>().answer, job_state::refused, reason::unknownKind, true));
    entry.submit(entry.jobFor(entry.issue(), 0));
    BOOST_TEST(matches(entry.get<reply_job>().answer, job_state::refused, reason::malformed, true));
    entry.submit(entry.jobFor(entry.issue(), 211));
    BOOST_TEST(matches(entry.get<reply_job>().answer, job_state::refused, reason::malformed, true));
    BOOST_TEST(entry.count<start_task>() == 0U);
}

// Guards against a ticket that was refused as not run, but starts its job when a delayed copy of the submission arrives.
BOOST_AUTO_TEST_CASE(aRefusedTicketNeverRuns)
{
    entry_fixture entry;
    const job_request job = entry.jobFor(entry.issue());
    entry.submit(job);
    BOOST_TEST(matches(entry.get<reply_job>().answer, job_state::refused, reason::noEndpoint, true));
    entry.joinAgent(1);
    entry.submit(job);
    BOOST_TEST(entry.count<start_task>() == 0U);
    BOOST_TEST(matches(entry.get<reply_job>().answer, job_state::refused, reason::ticketClosed, true));
    entry.submit(entry.jobFor(entry.issue()));
    BOOST_TEST(entry.count<start_task>() == 1U);
}

// Guards against waiting requests of a job that are not answered or get different answers.
BOOST_AUTO_TEST_CASE(everyWaitingRequestGetsTheSameAnswer)
{
    entry_fixture entry;
    entry.joinAgent(1);
    const ticket source = entry.issue();
    const request_id first = entry.submit(entry.jobFor(source, 2));
    const auto starts = entry.all<start_task>();
    const request_id second = entry.submit(entry.jobFor(source, 2));
    BOOST_TEST(entry.actions.empty());
    const request_id third = entry.query(source, 30s);
    entry.succeed(starts.at(1), "b");
    BOOST_TEST(entry.count<reply_job>() == 0U);
    entry.succeed(starts.at(0), "a");
    const auto replies = entry.all<reply_job>();
    BOOST_REQUIRE(replies.size() == 3U);
    for (const reply_job &reply : replies) {
        BOOST_TEST((reply.request == first || reply.request == second || reply.request == third));
        BOOST_TEST((reply.answer.results == std::vector<std::string>{"a", "b"}));
    }
}

// Guards against a query that is never answered or answered twice.
BOOST_AUTO_TEST_CASE(aQueryWaitsNoLongerThanItAsks)
{
    entry_fixture entry;
    entry.joinAgent(1);
    const ticket source = entry.issue();
    entry.query(source);
    BOOST_TEST(matches(entry.get<reply_job>().answer, job_state::refused, reason::unknownJob, false));
    entry.submit(entry.jobFor(source));
    const start_task start = entry.get<start_task>();
    entry.query(source);
    BOOST_TEST((entry.get<reply_job>().answer.state == job_state::running));
    const request_id waiting = entry.query(source, 500ms);
    BOOST_TEST(entry.count<reply_job>() == 0U);
    entry.advance(500ms);
    BOOST_TEST((entry.get<reply_job>().request == waiting));
    BOOST_TEST((entry.get<reply_job>().answer.state == job_state::running));
    entry.succeed(start);
    BOOST_TEST((entry.get<reply_job>().request != waiting));
    entry.query(source, 500ms);
    BOOST_TEST((entry.get<reply_job>().answer.state == job_state::complete));
}

// Guards against unbounded memory use when a caller repeats a request.
BOOST_AUTO_TEST_CASE(theNumberOfWaitingRequestsIsBounded)
{
    entry_fixture entry;
    entry.joinAgent(1);
    const ticket source = entry.issue();
    for (int i = 0; i < 64; ++i) {
        entry.submit(entry.jobFor(source));
        BOOST_TEST(entry.count<reply_job>() == 0U);
    }
    entry.submit(entry.jobFor(source));
    BOOST_TEST(matches(entry.get<reply_job>().answer, job_state::refused, reason::overloaded, false));
}

// Guards against a partial answer, and against tasks that start after their job has failed.
BOOST_AUTO_TEST_CASE(oneFailedTaskFailsTheJob)
{
    entry_fixture entry;
    entry.joinAgent(1, 2);
    const ticket source = entry.issue();
    entry.submit(entry.jobFor(source, 5));
    const auto starts = entry.all<start_task>();
    BOOST_REQUIRE(starts.size() == 2U);
    entry.finish(starts.at(0), entry_fixture::outcome(task_verdict::failed, "broken"), 0);
    BOOST_TEST(matches(entry.get<reply_job>().answer, job_state::failed, reason::taskFailed, false));
    entry.succeed(starts.at(1));
    BOOST_TEST(entry.actions.empty());
    entry.submit(entry.jobFor(source, 5));
    BOOST_TEST(matches(entry.get<reply_job>().answer, job_state::failed, reason::taskFailed, false));
}

// Guards against a job that waits forever, and against "not run" for a job of which a task was started.
BOOST_AUTO_TEST_CASE(theDeadlineFailsAJob)
{
    entry_fixture entry;
    entry.joinAgent(1, 1);
    job_request some = entry.jobFor(entry.issue(), 2);
    some.timeLimit = 2s;
    entry.submit(some);
    const start_task start = entry.get<start_task>();
    BOOST_TEST(start.order.timeLimit.count() == 2000);
    job_request none = entry.jobFor(entry.issue());
    none.timeLimit = 2s;
    entry.submit(none);
    entry.advance(2s - 1ms);
    BOOST_TEST(entry.count<reply_job>() == 0U);
    entry.advance(1ms);
    const auto replies = entry.all<reply_job>();
    BOOST_REQUIRE(replies.size() == 2U);
    BOOST_TEST(matches(replies.at(0).answer, job_state::failed, reason::deadlineExceeded, false));
    BOOST_TEST(matches(replies.at(1).answer, job_state::failed, reason::deadlineExceeded, true));
    entry.succeed(start);
    BOOST_TEST(entry.count<start_task>() == 0U);
}

// Guards against a job without its own time limit that ignores the limit of its kind.
BOOST_AUTO_TEST_CASE(theKindLimitsAJobWithoutALimit)
{
    entry_fixture entry;
    entry.joinAgent(1, 0);
    entry.submit(entry.jobFor(entry.issue()));
    entry.advance(10s - 1ms);
    BOOST_TEST(entry.count<reply_job>() == 0U);
    entry.advance(1ms);
    BOOST_TEST(matches(entry.get<reply_job>().answer, job_state::failed, reason::deadlineExceeded, true));
}

// Guards against tasks that start after their job was cancelled, and against a wrong "not run" for a cancelled job.
BOOST_AUTO_TEST_CASE(cancellationDropsQueuedTasks)
{
    entry_fixture entry;
    entry.joinAgent(1, 1);
    const ticket started = entry.issue();
    const ticket queued = entry.issue();
    const request_id first = entry.submit(entry.jobFor(started, 2));
    const start_task start = entry.get<start_task>();
    entry.submit(entry.jobFor(queued));
    entry.cancel(queued);
    BOOST_REQUIRE(entry.count<reply_job>() == 2U);
    BOOST_TEST(matches(entry.all<reply_job>().at(0).answer, job_state::failed, reason::cancelled, true));
    const request_id cancelling = entry.cancel(started);
    BOOST_REQUIRE(entry.count<reply_job>() == 2U);
    BOOST_TEST((entry.all<reply_job>().at(0).request == first));
    BOOST_TEST((entry.all<reply_job>().at(1).request == cancelling));
    BOOST_TEST(matches(entry.all<reply_job>().at(1).answer, job_state::failed, reason::cancelled, false));
    entry.succeed(start);
    BOOST_TEST(entry.actions.empty());
}

// Guards against tasks of answered jobs that stay in the queue.
BOOST_AUTO_TEST_CASE(anAnsweredJobLeavesTheQueue)
{
    entry_fixture entry;
    entry.joinAgent(1, 0);
    entry.applyRules(2, 3);
    const ticket source = entry.issue();
    entry.submit(entry.jobFor(source, 3));
    entry.submit(entry.jobFor(entry.issue(), 3));
    BOOST_TEST(matches(entry.get<reply_job>().answer, job_state::refused, reason::queueFull, true));
    entry.cancel(source);
    entry.submit(entry.jobFor(entry.issue(), 3));
    BOOST_TEST(entry.count<reply_job>() == 0U);
    entry.advance(10s);
    entry.submit(entry.jobFor(entry.issue(), 3));
    BOOST_TEST(entry.count<reply_job>() == 0U);
}

// Guards against a cancellation that changes a final answer or creates one for an unknown job.
BOOST_AUTO_TEST_CASE(cancellationChangesNoAnswer)
{
    entry_fixture entry;
    entry.joinAgent(1);
    const ticket source = entry.issue();
    entry.cancel(source);
    BOOST_TEST(matches(entry.get<reply_job>().answer, job_state::refused, reason::unknownJob, false));
    entry.submit(entry.jobFor(source));
    entry.succeed(entry.get<start_task>());
    entry.cancel(source);
    BOOST_TEST((entry.get<reply_job>().answer.state == job_state::complete));
}

// Guards against a second run when a caller resubmits a job with the same client key under a new ticket.
BOOST_AUTO_TEST_CASE(aClientKeyJoinsASecondTicket)
{
    entry_fixture entry;
    entry.joinAgent(1);
    job_request first = entry.jobFor(entry.issue());
    first.key = "order 7";
    entry.submit(first);
    const start_task start = entry.get<start_task>();
    job_request second = entry.jobFor(entry.issue());
    second.key = "order 7";
    const request_id joined = entry.submit(second);
    BOOST_TEST(entry.actions.empty());
    entry.succeed(start, "sent");
    BOOST_REQUIRE(entry.count<reply_job>() == 2U);
    BOOST_TEST((entry.all<reply_job>().at(1).request == joined));
    BOOST_TEST((entry.all<reply_job>().at(1).ticket == second.source.id));
    job_request third = entry.jobFor(entry.issue());
    third.key = "order 7";
    entry.submit(third);
    BOOST_TEST(entry.get<reply_job>().answer.results.at(0) == "sent");
    second.payloads.at(0) = "other";
    entry.submit(second);
    BOOST_TEST(matches(entry.get<reply_job>().answer, job_state::refused, reason::ticketReused, false));
    third.team = "other team";
    third.source = entry.issue();
    entry.submit(third);
    BOOST_TEST(entry.count<start_task>() == 1U);
}

// Guards against a joined ticket that starts a job after the answer of the first ticket has expired.
BOOST_AUTO_TEST_CASE(aJoinedTicketNeverRuns)
{
    entry_fixture entry;
    entry.joinAgent(1);
    job_request first = entry.jobFor(entry.issue());
    first.key = "order 7";
    entry.submit(first);
    entry.succeed(entry.get<start_task>());
    entry.advance(9min);
    job_request second = entry.jobFor(entry.issue());
    second.key = "order 7";
    entry.submit(second);
    BOOST_TEST(entry.count<reply_job>() == 1U);
    entry.advance(5min);
    entry.submit(second);
    BOOST_TEST((entry.get<reply_job>().answer.state == job_state::complete));
    BOOST_TEST(entry.count<start_task>() == 0U);
    job_request third = entry.jobFor(entry.issue());
    third.key = "order 7";
    entry.submit(third);
    BOOST_TEST(entry.count<start_task>() == 1U);
}

// Guards against a client key that stays in use although nothing ran under it.
BOOST_AUTO_TEST_CASE(aKeyIsFreeAgainIfNothingRan)
{
    entry_fixture entry;
    entry.joinAgent(1, 0);
    job_request first = entry.jobFor(entry.issue());
    first.key = "order 7";
    entry.submit(first);
    entry.cancel(first.source);
    BOOST_TEST(matches(entry.all<reply_job>().at(0).answer, job_state::failed, reason::cancelled, true));
    entry.joinAgent(1, 8);
    job_request second = entry.jobFor(entry.issue());
    second.key = "order 7";
    entry.submit(second);
    BOOST_TEST(entry.count<start_task>() == 1U);
}

// Guards against unbounded memory use under overload.
BOOST_AUTO_TEST_CASE(aFullTableRefusesNewJobsOnly)
{
    entry_core_settings settings = entry_fixture::defaultSettings();
    settings.maxJobs = 2;
    entry_fixture entry(settings);
    entry.joinAgent(1);
    const ticket known = entry.issue();
    entry.submit(entry.jobFor(known));
    entry.succeed(entry.get<start_task>());
    entry.submit(entry.jobFor(entry.issue()));
    entry.submit(entry.jobFor(entry.issue()));
    BOOST_TEST(matches(entry.get<reply_job>().answer, job_state::refused, reason::overloaded, true));
    entry.submit(entry.jobFor(known));
    BOOST_TEST((entry.get<reply_job>().answer.state == job_state::complete));
}

// Guards against a second run of a job whose answer was evicted to make room.
BOOST_AUTO_TEST_CASE(aTicketWhoseAnswerWasEvictedStaysUsed)
{
    entry_core_settings settings = entry_fixture::defaultSettings();
    settings.maxJobs = 1;
    entry_fixture entry(settings);
    entry.joinAgent(1);
    const ticket first = entry.issue();
    entry.submit(entry.jobFor(first));
    entry.succeed(entry.get<start_task>());
    entry.advance(30s);
    entry.submit(entry.jobFor(entry.issue()));
    entry.succeed(entry.get<start_task>());
    entry.advance(30s);
    entry.submit(entry.jobFor(first));
    BOOST_TEST(matches(entry.get<reply_job>().answer, job_state::refused, reason::ticketExpired, false));
    entry.query(first);
    BOOST_TEST(matches(entry.get<reply_job>().answer, job_state::refused, reason::ticketExpired, false));
}

BOOST_AUTO_TEST_SUITE_END()
