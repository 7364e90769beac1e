#include "job/entry_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

// Refuses a start and returns the next start of the task, if there is one within two seconds.
std::vector<start_task> refuse(entry_fixture &entry, const start_task &start)
{
    entry.finish(start, entry_fixture::outcome(task_verdict::notStarted, {}, reason::overloaded));
    std::vector<entry_action> first = entry.actions;
    entry.advance(2s);
    entry.actions.insert(entry.actions.begin(), first.begin(), first.end());
    return entry.all<start_task>();
}

} // namespace

BOOST_AUTO_TEST_SUITE(returned_tasks_test)

// Guards against a task that is lost because one agent refused it.
BOOST_AUTO_TEST_CASE(aRefusedTaskIsPlacedAgainAtOnce)
{
    entry_fixture entry;
    entry.joinAgent(1, 1);
    entry.joinAgent(2, 1);
    entry.submit(entry.jobFor(entry.issue()));
    const start_task first = entry.get<start_task>();
    entry.finish(first, entry_fixture::outcome(task_verdict::notStarted, {}, reason::overloaded));
    BOOST_REQUIRE(entry.count<start_task>() == 1U);
    BOOST_TEST((entry.get<start_task>().agent != first.agent));
    entry.finish(entry.get<start_task>(), entry_fixture::outcome(task_verdict::notStarted, {}, reason::overloaded));
    BOOST_TEST(entry.count<start_task>() == 0U);
    // Both endpoints are temporarily saturated.
    entry.advance(1s);
    entry.succeed(entry.get<start_task>());
    BOOST_TEST((entry.get<reply_job>().answer.state == job_state::complete));
}

// Guards against a task that is placed again forever although all agents refuse it.
BOOST_AUTO_TEST_CASE(refusalsAreBounded)
{
    entry_fixture entry;
    entry.joinAgent(1, 1);
    job_request job = entry.jobFor(entry.issue());
    job.timeLimit = 1h;
    entry.submit(job);
    std::vector<start_task> starts = entry.all<start_task>();
    int placements = 0;
    while (!starts.empty()) {
        ++placements;
        BOOST_REQUIRE(placements < 100);
        starts = refuse(entry, starts.front());
    }
    BOOST_TEST(placements == 12);
    BOOST_TEST((entry.get<reply_job>().answer.why == reason::noEndpoint));
    BOOST_TEST(entry.get<reply_job>().answer.notRun);
}

// Guards against "not run" for a job of which another task was started.
BOOST_AUTO_TEST_CASE(aJobThatRanPartlyDoesNotSayNotRun)
{
    entry_fixture entry;
    entry.joinAgent(1, 2);
    job_request job = entry.jobFor(entry.issue(), 2);
    job.timeLimit = 1h;
    entry.submit(job);
    const auto both = entry.all<start_task>();
    entry.succeed(both.at(0));
    std::vector<start_task> starts = {both.at(1)};
    while (!starts.empty()) {
        starts = refuse(entry, starts.front());
    }
    BOOST_TEST((entry.get<reply_job>().answer.why == reason::noEndpoint));
    BOOST_TEST(!entry.get<reply_job>().answer.notRun);
}

// Guards against starting a task whose job was answered while the task was delayed.
BOOST_AUTO_TEST_CASE(aTaskOfAnAnsweredJobIsNotPlacedAgain)
{
    entry_fixture entry;
    entry.joinAgent(1, 1);
    entry.joinAgent(2, 1);
    const ticket source = entry.issue();
    entry.submit(entry.jobFor(source));
    entry.finish(entry.get<start_task>(), entry_fixture::outcome(task_verdict::notStarted));
    entry.finish(entry.get<start_task>(), entry_fixture::outcome(task_verdict::notStarted));
    entry.cancel(source);
    BOOST_TEST(entry.all<reply_job>().at(0).answer.notRun);
    entry.advance(5s);
    BOOST_TEST(entry.actions.empty());
}

BOOST_AUTO_TEST_SUITE_END()
