#include "cli/program.h"
#include "http/scripted_entry.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;

namespace
{

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_SUITE(load_command_test)

// Guards against jobs that are not counted, and against a run that does not end by itself.
BOOST_AUTO_TEST_CASE(countsEveryJob)
{
    scripted_entry first(echoScript());
    scripted_entry second(echoScript());
    const program_result result = runProgram(
        "load --kind=check --rate=150 --seconds=1 --tasks_max=5 --run_time_ms=1 --run_time_min_ms=1 --entry=" + first.address() + "," + second.address());
    BOOST_TEST(result.status == 0, result.output);
    BOOST_TEST(contains(result.output, "jobs sent=150 complete=150 lost=0 skipped=0"), result.output);
    BOOST_TEST(contains(result.output, "response_ms n=150 "), result.output);
    BOOST_TEST(contains(result.output, "response_to_ideal "), result.output);
    BOOST_TEST(first.eventCount() >= 75);
    BOOST_TEST(second.eventCount() >= 75);
}

// Guards against refusals that are reported as results or not reported at all.
BOOST_AUTO_TEST_CASE(reportsRefusalsByReason)
{
    scripted_entry entry([](const entry_event &event, front_end &front) {
        if (const auto *job = std::get_if<job_submitted>(&event)) {
            reply_job reply;
            reply.request = job->request;
            reply.answer.why = reason::queueFull;
            reply.answer.notRun = true;
            front.post(std::move(reply));
        } else {
            echoScript()(event, front);
        }
    });
    const program_result result = runProgram("load --kind=check --rate=50 --seconds=1 --entry=" + entry.address());
    BOOST_TEST(contains(result.output, "not_complete reason=queue_full not_run=true n=50\n"), result.output);
    BOOST_TEST(contains(result.output, "refusal_ms n=50 "), result.output);
    BOOST_TEST(contains(result.output, "complete=0 lost=0"), result.output);
}

// Guards against arrivals that wait for earlier answers (closed loop), which would hide a slow entry.
BOOST_AUTO_TEST_CASE(doesNotWaitForAnswers)
{
    // The entry answers only after it has received all submissions, which a closed loop would never send.
    scripted_entry entry([kept = std::vector<job_submitted>()](const entry_event &event, front_end &front) mutable {
        const auto *job = std::get_if<job_submitted>(&event);
        if (job == nullptr) {
            echoScript()(event, front);
            return;
        }
        kept.push_back(*job);
        if (kept.size() == 100) {
            for (const job_submitted &each : kept) {
                echoScript()(each, front);
            }
        }
    });
    const program_result result = runProgram("load --kind=check --rate=100 --seconds=1 --entry=" + entry.address());
    BOOST_TEST(contains(result.output, "complete=100 lost=0"), result.output);
}

// Guards against a load outside the limits of the options.
BOOST_AUTO_TEST_CASE(refusesWrongOptions)
{
    for (const std::string arguments : {"",
                                        "--kind=k --rate=0",
                                        "--kind=k --rate=nan",
                                        "--kind=k --rate=-1",
                                        "--kind=k --seconds=0",
                                        "--kind=k --seconds=301",
                                        "--kind=k --rate=1e9",
                                        "--kind=k --tasks_min=0",
                                        "--kind=k --tasks_min=3 --tasks_max=2",
                                        "--kind=k --key=x",
                                        "--kind=k extra",
                                        "--kind=k --open_limit=0"}) {
        BOOST_TEST(runProgram("load " + arguments).status == 2, arguments);
    }
    BOOST_TEST(runProgram("load --kind=k --entry=127.0.0.1:1").status == 1);
    BOOST_TEST(runProgram("load --help").status == 0);
}

BOOST_AUTO_TEST_SUITE_END()
