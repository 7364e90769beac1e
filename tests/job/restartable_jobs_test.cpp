#include "job/restartable_entry.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace teaselward;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(restartable_jobs_test, restartable_entry)

// Guards against a second job when a caller resubmits with the same key.
BOOST_AUTO_TEST_CASE(joinsASecondSubmissionOfAKey)
{
    joinWorker(1);
    submitKeyed("0011");
    const auto start = get<start_task>();
    BOOST_TEST(start.order.key == "0011");
    BOOST_TEST(start.order.id.attempt == 1U);
    BOOST_TEST(start.order.restartable);
    submitKeyed("0011");
    BOOST_TEST(count<start_task>() == 0U);
    succeed(start);
    BOOST_TEST(count<reply_job>() == 2U);
}

// Guards against a job that fails at the first failed run of a task, and against more runs than the attempts of its kind.
BOOST_AUTO_TEST_CASE(startsAFailedTaskAgainWithinItsAttempts)
{
    joinWorker(1);
    submitKeyed("0011");
    finish(get<start_task>(), outcome(task_verdict::failed, "", reason::taskFailed));
    const auto second = get<start_task>();
    BOOST_TEST(second.order.id.attempt == 2U);
    finish(second, outcome(task_verdict::failed, "", reason::taskFailed));
    BOOST_TEST(count<start_task>() == 0U);
    BOOST_TEST((get<reply_job>().answer.why == reason::taskFailed));
    BOOST_TEST(!get<reply_job>().answer.notRun);
}

// Guards against "not run" for a job of which a run was interrupted.
BOOST_AUTO_TEST_CASE(neverSaysNotRunAfterAnInterruptedRun)
{
    joinWorker(1, 1);
    submitKeyed("0011", 1, 500ms);
    const auto start = get<start_task>();
    handle(agent_lost{.agent = start.agent});
    finish(start, outcome(task_verdict::interrupted, "", reason::outcomeUnknown), 0);
    advance(500ms);
    BOOST_TEST(!get<reply_job>().answer.notRun);
}

// Guards against two concurrent runs: a run at a lost agent may continue until its leases have expired.
BOOST_AUTO_TEST_CASE(waitsForTheLeasesOfALostAgent)
{
    joinWorker(1);
    submitKeyed("0011");
    const auto start = get<start_task>();
    handle(agent_lost{.agent = start.agent});
    joinWorker(2, 8, "10.1.0.2:1");
    advance(1440ms);
    BOOST_TEST(count<start_task>() == 0U);
    advance(60ms);
    BOOST_TEST(get<start_task>().agent.value == 2U);
}

// Guards against runs for a caller that has disconnected, and against stopping a job that another request still waits for.
BOOST_AUTO_TEST_CASE(stopsTheRunsOfACallerThatLeaves)
{
    joinWorker(1);
    const request_id first = submitKeyed("0011", 2);
    const auto starts = all<start_task>();
    BOOST_REQUIRE(starts.size() == 2U);
    const request_id second = submitKeyed("0011", 2);
    handle(request_abandoned{.request = first});
    BOOST_TEST(count<stop_task>() == 0U); // The second request still waits for the job.
    handle(request_abandoned{.request = second});
    BOOST_TEST(count<stop_task>() == 2U);
}

// Guards against runs that continue after their job was answered.
BOOST_AUTO_TEST_CASE(stopsTheRunsOfAJobThatIsAnswered)
{
    joinWorker(1);
    const request_id request = submitKeyed("0011", 2);
    const auto starts = all<start_task>();
    handle(request_abandoned{.request = request});
    const auto stops = all<stop_task>();
    BOOST_REQUIRE(stops.size() == 2U);
    BOOST_TEST((stops[0].id == starts[0].order.id));
    BOOST_TEST((stops[1].id == starts[1].order.id));
}

// Guards against a job that an agent returns after its time to start has passed, and that would then wait until its deadline.
BOOST_AUTO_TEST_CASE(refusesAJobThatIsReturnedTooLate)
{
    joinWorker(1, 1);
    submitKeyed("0011", 2);
    const auto start = get<start_task>();
    advance(1s);
    BOOST_TEST(count<reply_job>() == 0U);
    finish(start, outcome(task_verdict::notStarted, {}, reason::overloaded), 0);
    BOOST_TEST((get<reply_job>().answer.why == reason::overloaded));
    BOOST_TEST(get<reply_job>().answer.notRun);
}

// Guards against a job that is refused although one of its tasks has run.
BOOST_AUTO_TEST_CASE(keepsAJobThatHasRunWhenATaskIsReturned)
{
    joinWorker(1, 2);
    submitKeyed("0011", 2);
    const auto starts = all<start_task>();
    BOOST_REQUIRE(starts.size() == 2U);
    advance(1s);
    finish(starts[0], outcome(task_verdict::interrupted), 0);
    finish(starts[1], outcome(task_verdict::notStarted, {}, reason::overloaded), 0);
    BOOST_TEST(count<reply_job>() == 0U);
}

// Simulates an overload: one slot, and jobs of 100 ms that arrive every 50 ms. Guards against an admission that ignores the objective:
// the queue would grow until every answer is late, whereas early refusals keep the accepted jobs in time.
BOOST_AUTO_TEST_CASE(servesInTimeWhatItAdmitsInAnOverload)
{
    joinWorker(1, 1);
    std::vector<std::pair<mono_time, start_task>> running;
    std::map<std::uint64_t, mono_time> arrivals;
    std::size_t inTime = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    const auto take = [&] {
        for (const auto &start : all<start_task>()) {
            running.emplace_back(now + 100ms, start);
        }
        for (const auto &reply : all<reply_job>()) {
            const auto objective = 100ms * 16 / 10 + 60ms;
            const bool isServed = reply.answer.state == job_state::complete;
            refused += isServed ? 0 : 1;
            inTime += isServed && now - arrivals.at(reply.request.number) <= objective ? 1 : 0;
            late += isServed && now - arrivals.at(reply.request.number) > objective ? 1 : 0;
            BOOST_TEST((isServed || reply.answer.notRun));
        }
    };
    for (int step = 0; step < 4000; ++step) {
        if (step % 10 == 0) {
            arrivals[submitKeyed("key " + std::to_string(step)).number] = now;
            arrivals.rbegin()->second = now;
            take();
        }
        advance(5ms);
        take();
        if (!running.empty() && running.front().first <= now) {
            task_outcome done = outcome(task_verdict::succeeded);
            done.runTime = 100ms;
            const start_task start = running.front().second;
            running.erase(running.begin());
            finish(start, done);
            take();
        }
    }
    BOOST_TEST(inTime >= 180U); // The slot can run 200 jobs.
    BOOST_TEST(late <= 10U);
    BOOST_TEST(refused >= 180U);
}

BOOST_AUTO_TEST_SUITE_END()
