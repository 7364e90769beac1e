#include "cli/program.h"
#include "http/scripted_entry.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;

namespace
{

// Script that issues tickets and gives every submission the same answer.
scripted_entry::script answerScript(const job_answer &answer)
{
    return [answer](const entry_event &event, front_end &front) {
        if (const auto *job = std::get_if<job_submitted>(&event)) {
            front.post(reply_job{job->request, job->job.source.id, answer});
        } else {
            echoScript()(event, front);
        }
    };
}

program_result submit(const job_answer &answer)
{
    scripted_entry entry(answerScript(answer));
    return runProgram("submit --kind=check --time_limit_ms=3000 --entry=" + entry.address() + " a");
}

} // namespace

BOOST_AUTO_TEST_SUITE(submit_command_test)

// Guards against results that are lost, reordered or changed when they are printed.
BOOST_AUTO_TEST_CASE(printsEachResult)
{
    scripted_entry entry(echoScript());
    const program_result fromArguments = runProgram("submit --kind=check --entry=" + entry.address() + " 'first one' '' --key=k \"a\\\"b\"");
    BOOST_TEST(fromArguments.status == 0);
    BOOST_TEST(fromArguments.output == "complete: 3 tasks\nfirst one\n\na\"b\n");
    const program_result fromInput = runProgram("submit --kind check --entry " + entry.address() + " < /dev/null");
    BOOST_TEST(fromInput.status == 2);
    const program_result fromLines = runProgram("submit --kind check --entry " + entry.address() + " <<'END'\nx y\nz\nEND\n");
    BOOST_TEST(fromLines.output == "complete: 2 tasks\nx y\nz\n");
}

// Guards against exit statuses that do not distinguish a job that ran from one that did not, on which scripts rely.
BOOST_AUTO_TEST_CASE(exitStatusReflectsTheOutcome)
{
    job_answer answer;
    answer.state = job_state::failed;
    answer.why = reason::taskFailed;
    BOOST_TEST(submit(answer).status == 1);
    answer.why = reason::outcomeUnknown;
    BOOST_TEST(submit(answer).status == 4);
    answer.state = job_state::refused;
    answer.why = reason::unknownKind;
    answer.notRun = true;
    const program_result refused = submit(answer);
    BOOST_TEST(refused.status == 3);
    BOOST_TEST(refused.output == "refused: unknown_kind, not run\n");
}

// Guards against a job that fails because the first entry of the list cannot be reached.
BOOST_AUTO_TEST_CASE(triesOtherEntries)
{
    scripted_entry entry(echoScript());
    const program_result result = runProgram("submit --kind=check --entry=127.0.0.1:1," + entry.address() + " a");
    BOOST_TEST(result.status == 0, result.output);
}

// Guards against invalid options that are ignored.
BOOST_AUTO_TEST_CASE(refusesWrongOptions)
{
    for (const std::string arguments : {"",
                                        "--kind",
                                        "--kind=",
                                        "--kind=k --rate=5 a",
                                        "--kind=k --colour=red a",
                                        "--kind=k --time_limit_ms=soon a",
                                        "--kind=k --time_limit_ms=0 a",
                                        "--kind=k \"$(printf '\\377')\""}) {
        const program_result result = runProgram("submit " + arguments + " < /dev/null");
        BOOST_TEST(result.status == 2, arguments);
        BOOST_TEST(result.output.find("--help") != std::string::npos, result.output);
    }
    BOOST_TEST(runProgram("submit --help").status == 0);
}

BOOST_AUTO_TEST_SUITE_END()
