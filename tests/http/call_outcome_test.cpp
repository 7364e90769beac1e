#include "http/call_outcome.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;

BOOST_AUTO_TEST_SUITE(call_outcome_test)

// Guards against a call that counts as not started although the endpoint may have run its task.
BOOST_AUTO_TEST_CASE(derivesTheOutcomeOfACall)
{
    struct row {
        const char *what;
        call_completion completion;
        task_verdict verdict;
        reason why;
    };
    const std::vector<row> rows = {
        {"success", {.answered = true, .bytesSent = 90, .status = 200}, task_verdict::succeeded, reason::none},
        {"other success", {.answered = true, .bytesSent = 90, .status = 204}, task_verdict::succeeded, reason::none},
        {"declined", {.answered = true, .saysNotRun = true, .bytesSent = 90, .status = 503}, task_verdict::notStarted, reason::overloaded},
        {"503 without the header", {.answered = true, .bytesSent = 90, .status = 503}, task_verdict::failed, reason::taskFailed},
        {"header with another status", {.answered = true, .saysNotRun = true, .bytesSent = 90, .status = 500}, task_verdict::failed, reason::taskFailed},
        {"success with the header", {.answered = true, .saysNotRun = true, .bytesSent = 90, .status = 200}, task_verdict::succeeded, reason::none},
        {"redirection", {.answered = true, .bytesSent = 90, .status = 307}, task_verdict::failed, reason::taskFailed},
        {"client error", {.answered = true, .bytesSent = 90, .status = 404}, task_verdict::failed, reason::taskFailed},
        {"answer before the request was sent", {.answered = true, .bytesSent = 0, .status = 400}, task_verdict::failed, reason::taskFailed},
        {"large result", {.resultTooLarge = true, .bytesSent = 90, .status = 200}, task_verdict::failed, reason::taskFailed},
        {"refused connection", {}, task_verdict::notStarted, reason::noEndpoint},
        {"time-out before a byte was sent", {.timedOut = true}, task_verdict::notStarted, reason::deadlineExceeded},
        {"time-out after one byte", {.timedOut = true, .bytesSent = 1}, task_verdict::unknown, reason::deadlineExceeded},
        {"connection lost after one byte", {.bytesSent = 1}, task_verdict::unknown, reason::outcomeUnknown},
        {"connection lost within a declining answer", {.saysNotRun = true, .bytesSent = 90, .status = 503}, task_verdict::unknown, reason::outcomeUnknown},
        {"connection lost within a success", {.bytesSent = 90, .status = 200}, task_verdict::unknown, reason::outcomeUnknown},
    };
    for (const row &each : rows) {
        const task_outcome outcome = outcomeOfCall(each.completion);
        BOOST_TEST((outcome.verdict == each.verdict), each.what);
        BOOST_TEST((outcome.why == each.why), each.what);
    }
}

// Guards against descriptions of failures that fill the ledger, and against results that are truncated.
BOOST_AUTO_TEST_CASE(truncatesOnlyDescriptionsOfFailures)
{
    call_completion completion{.answered = true, .status = 500, .body = std::string(100000, 'x')};
    BOOST_TEST(outcomeOfCall(completion).body.size() == 1000);
    completion.status = 200;
    BOOST_TEST(outcomeOfCall(completion).body.size() == 100000);
}

BOOST_AUTO_TEST_SUITE_END()
