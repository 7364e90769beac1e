#include "job/restartable_entry.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t Workers = 11;

/** Entry with eleven workers whose agents report crashes. Kind "check" is the one whose tasks crash them. */
struct crashing_entry : restartable_entry {
    crashing_entry()
    {
        for (std::uint64_t worker = 1; worker <= Workers; ++worker) {
            joinWorker(worker, 8, address(worker));
        }
    }

    static std::string address(std::uint64_t worker)
    {
        return "10.1.0." + std::to_string(worker) + ":8145";
    }

    // Reports the crash of the worker of a start, and then its lost run. Returns the start that replaces the run, if there is one.
    std::optional<start_task> crash(const start_task &start, std::chrono::milliseconds age, bool isRepeated)
    {
        handle(endpoint_crashed{.agent = start.agent, .suspects = {{.kind = start.order.kind, .isRepeated = isRepeated}}});
        task_outcome lost = outcome(task_verdict::interrupted, {}, reason::outcomeUnknown);
        lost.runTime = age;
        lost.endpointCrashed = true;
        finish(start, lost, 0);
        const auto starts = all<start_task>();
        return starts.empty() ? std::nullopt : std::optional<start_task>(starts.front());
    }

    // Quarantines the kind by a job that crashes two workers.
    void quarantine()
    {
        submitKeyed("deadly");
        const auto first = get<start_task>();
        const auto second = crash(first, 12ms, false);
        crash(*second, 13ms, true);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(crashing_tasks_test, crashing_entry)

// Guards against a task that crashes one worker after another, up to the limit of placements.
BOOST_AUTO_TEST_CASE(givesUpATaskThatCrashesTwoWorkers)
{
    submitKeyed("deadly", 2);
    const auto starts = all<start_task>();
    BOOST_REQUIRE(starts.size() == 2U);
    BOOST_TEST(!starts.at(0).order.crashAge.has_value());
    const auto again = crash(starts.at(0), 12ms, false);
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST(again->agent.value != starts.at(0).agent.value);
    BOOST_TEST((again->order.crashAge == 12ms));
    BOOST_TEST(!crash(*again, 14ms, true).has_value());
    const auto answer = get<reply_job>().answer;
    BOOST_TEST((answer.state == job_state::failed));
    BOOST_TEST((answer.why == reason::taskFailed));
    BOOST_TEST(!answer.notRun);
    BOOST_TEST(count<stop_task>() == 1U);
}

// Guards against a healthy task that is given up because it was running at two workers that crashed for other reasons.
BOOST_AUTO_TEST_CASE(keepsATaskThatWasLostByChance)
{
    submitKeyed("healthy");
    const auto second = crash(get<start_task>(), 80ms, false);
    BOOST_REQUIRE(second.has_value());
    crash(*second, 10ms, false);
    BOOST_TEST(count<reply_job>() == 0U);
    advance(50ms); // The second placement is followed by a delay.
    BOOST_TEST(count<start_task>() == 1U);
    BOOST_TEST(count<reply_job>() == 0U);
}

// Guards against a lost task that is placed again at the agent that has just lost its worker, where it would wait for the end of the
// session.
BOOST_AUTO_TEST_CASE(placesNothingAtACrashedWorker)
{
    submitKeyed("first");
    const auto start = get<start_task>();
    handle(endpoint_crashed{.agent = start.agent, .suspects = {}});
    submitKeyed("wide", 64);
    for (const start_task &one : all<start_task>()) {
        BOOST_TEST(one.agent.value != start.agent.value);
    }
}

// Guards against tasks of the kind that reach all workers while it crashes them.
BOOST_AUTO_TEST_CASE(quarantinedTasksStayOnIsolatedWorkers)
{
    quarantine();
    std::set<std::uint64_t> used;
    for (int job = 0; job < 40; ++job) {
        submitKeyed("job" + std::to_string(job));
        for (const start_task &start : all<start_task>()) {
            used.insert(start.agent.value);
        }
    }
    BOOST_TEST(used.size() >= 1U);
    BOOST_TEST(used.size() <= 3U);
}

// Guards against callers that wait for their deadline although the isolated workers have no room for their job.
BOOST_AUTO_TEST_CASE(refusesQuarantinedJobsWithoutRoom)
{
    quarantine();
    std::size_t refused = 0;
    for (int job = 0; job < 40; ++job) {
        submitKeyed("job" + std::to_string(job));
        for (const reply_job &reply : all<reply_job>()) {
            BOOST_TEST((reply.answer.why == reason::kindFailing));
            BOOST_TEST(reply.answer.notRun);
            BOOST_TEST((reply.answer.retryAfter > 0ms));
            BOOST_TEST(count<start_task>() == 0U);
            ++refused;
        }
    }
    BOOST_TEST(refused >= 10U);
}

// Guards against a kind that stays on few workers after its tasks have stopped to crash them.
BOOST_AUTO_TEST_CASE(releasesAKindWithoutCrashes)
{
    quarantine();
    for (int job = 0; job < 400; ++job) {
        submitKeyed("job" + std::to_string(job));
        now += 20ms;
        for (const start_task &start : all<start_task>()) {
            succeed(start);
        }
    }
    submitKeyed("wide", 64);
    std::set<std::uint64_t> used;
    for (const start_task &start : all<start_task>()) {
        used.insert(start.agent.value);
    }
    BOOST_TEST(used.size() >= 8U);
}

BOOST_AUTO_TEST_SUITE_END()
