#include "job/entry_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(entry_core_test)

// Guards against requests for no tickets or for an unlimited number.
BOOST_AUTO_TEST_CASE(aBatchOfTicketsHasALimit)
{
    entry_fixture entry;
    entry.handle(ticket_requested{.request = entry.nextRequest(), .count = 1000});
    BOOST_TEST(entry.get<reply_tickets>().tickets.size() == 1000U);
    entry.handle(ticket_requested{.request = entry.nextRequest(), .count = 1001});
    BOOST_TEST((entry.get<reply_tickets>().why == reason::malformed));
    entry.handle(ticket_requested{.request = entry.nextRequest(), .count = 0});
    BOOST_TEST((entry.get<reply_tickets>().why == reason::malformed));
}

// Guards against rules that are replaced by older ones.
BOOST_AUTO_TEST_CASE(rulesWithALowerOffsetAreIgnored)
{
    entry_fixture entry;
    entry.joinAgent(1, 0);
    entry.applyRules(10, 2);
    entry.applyRules(9, 4096);
    entry.submit(entry.jobFor(entry.issue(), 3));
    BOOST_TEST((entry.get<reply_job>().answer.why == reason::queueFull));
    BOOST_TEST(entry.get<reply_job>().answer.notRun);
    entry.handle(status_requested{.request = entry.nextRequest()});
    BOOST_TEST(entry.get<reply_status>().status.rulesOffset == 10U);
}

// Guards against an entry that accepts jobs before it has a configuration.
BOOST_AUTO_TEST_CASE(withoutRulesNoKindIsKnown)
{
    null_logger log;
    const mono_time start{1h};
    entry_core core(entry_fixture::defaultSettings(), start, log);
    std::vector<entry_action> actions;
    core.handle(ticket_requested{.request = {}, .count = 1}, start, actions);
    job_request job;
    job.source = std::get<reply_tickets>(actions.at(0)).tickets.at(0);
    job.kind = "check";
    job.payloads = {"x"};
    core.handle(job_submitted{.request = {}, .job = job}, start, actions);
    BOOST_TEST((std::get<reply_job>(actions.at(1)).answer.why == reason::unknownKind));
}

// Guards against a drain that ends before the running jobs do, and against new jobs during a drain.
BOOST_AUTO_TEST_CASE(aDrainFinishesTheJobs)
{
    entry_fixture entry;
    entry.joinAgent(1);
    const ticket running = entry.issue();
    const ticket unused = entry.issue();
    entry.submit(entry.jobFor(running));
    const start_task start = entry.get<start_task>();
    entry.handle(drain_started{.bound = 1min});
    BOOST_TEST(entry.actions.empty());
    entry.submit(entry.jobFor(unused));
    BOOST_TEST((entry.get<reply_job>().answer.why == reason::draining));
    BOOST_TEST(entry.get<reply_job>().answer.notRun);
    entry.handle(ticket_requested{.request = entry.nextRequest(), .count = 1});
    BOOST_TEST((entry.get<reply_tickets>().why == reason::draining));
    entry.succeed(start, "done");
    BOOST_TEST(entry.get<reply_job>().answer.results.at(0) == "done");
    BOOST_TEST(entry.count<finish_drain>() == 1U);
    entry.submit(entry.jobFor(running));
    BOOST_TEST(entry.get<reply_job>().answer.results.at(0) == "done");
    BOOST_TEST(entry.count<finish_drain>() == 0U);
}

// Guards against a drain that waits forever for a hanging task.
BOOST_AUTO_TEST_CASE(aDrainEndsAtItsBound)
{
    entry_fixture entry;
    entry.joinAgent(1);
    job_request job = entry.jobFor(entry.issue());
    job.timeLimit = 1h;
    entry.submit(job);
    entry.handle(drain_started{.bound = 3s});
    entry.advance(3s - 1ms);
    BOOST_TEST(entry.count<finish_drain>() == 0U);
    entry.advance(1ms);
    BOOST_TEST(entry.count<finish_drain>() == 1U);
    entry.advance(1min);
    BOOST_TEST(entry.count<finish_drain>() == 0U);
}

// Guards against a drain that ends before a forwarded request is answered.
BOOST_AUTO_TEST_CASE(aDrainWaitsForForwardedRequests)
{
    entry_fixture entry;
    const request_id request = entry.query({.home = "10.0.0.2:1", .id = {.incarnation = 200, .sequence = 3}, .issuedAt = {}});
    entry.handle(drain_started{.bound = 1min});
    BOOST_TEST(entry.count<finish_drain>() == 0U);
    entry.handle(forward_answered{.request = request, .reached = true, .otherIncarnation = false, .answer = {}});
    BOOST_TEST(entry.count<finish_drain>() == 1U);
}

// Guards against wrong counts of jobs and answers in the status.
BOOST_AUTO_TEST_CASE(theStatusCountsJobsAndAnswers)
{
    entry_fixture entry;
    entry.joinAgent(1, 1);
    entry.submit(entry.jobFor(entry.issue()));
    const start_task start = entry.get<start_task>();
    entry.submit(entry.jobFor(entry.issue()));
    entry.finish(start, entry_fixture::outcome(task_verdict::succeeded), 0);
    const request_id request = entry.nextRequest();
    entry.handle(status_requested{.request = request});
    const reply_status reply = entry.get<reply_status>();
    BOOST_TEST((reply.request == request));
    BOOST_TEST(reply.status.runningJobs == 1U);
    BOOST_TEST(reply.status.keptAnswers == 1U);
    BOOST_TEST(reply.status.endpoints.size() == 1U);
    BOOST_TEST(reply.status.self.address == "10.0.0.1:1");
    BOOST_TEST(!reply.status.draining);
}

BOOST_AUTO_TEST_SUITE_END()
