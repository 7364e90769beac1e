#include "http/submit_session.h"

#include "http/caller_codec.h"

#include <boost/test/unit_test.hpp>

#include <deque>
#include <set>

using namespace teaselward;
using std::chrono::milliseconds;

namespace
{

/** Transport that returns prepared responses and records the requests. */
class scripted_transport : public caller_transport
{
public:
    struct sent {
        std::string entry;
        std::string path;
        std::string body;
    };

    caller_response post(const std::string &entry, const std::string &path, const std::string &body, milliseconds /*limit*/) override
    {
        requests.push_back({entry, path, body});
        if (path == "/v1/tickets") {
            if (ticketResults.empty()) {
                return {true, 200, R"({"tickets":["ticket-)" + std::to_string(++tickets) + "\"]}", {}};
            }
            auto result = ticketResults.front();
            ticketResults.pop_front();
            return result;
        }
        if (jobResults.empty()) {
            return {};
        }
        auto result = jobResults.front();
        if (jobResults.size() > 1) {
            jobResults.pop_front();
        }
        return result;
    }

    std::deque<caller_response> ticketResults;
    std::deque<caller_response> jobResults; ///< The last one is returned repeatedly.
    std::vector<sent> requests;
    int tickets = 0;
};

caller_response answered(long status, const std::string &body)
{
    return {true, status, body, {}};
}

const caller_response Complete = answered(200, R"({"state":"complete","tasks":1,"results":["A"]})");
const caller_response Overloaded = answered(503, R"({"state":"refused","reason":"overloaded","not_run":true,"retry_after_ms":1})");
const caller_response OverloadedAgain = answered(503, R"({"state":"refused","reason":"overloaded","not_run":false,"retry_after_ms":1})");
const caller_response QueueFull = answered(429, R"({"state":"refused","reason":"queue_full","not_run":true,"retry_after_ms":1})");
const caller_response Lost;

submit_settings quickSettings()
{
    submit_settings settings;
    settings.entries = {"one", "two"};
    settings.kind = "check";
    settings.firstBackoff = milliseconds(2);
    settings.longestBackoff = milliseconds(4);
    return settings;
}

// Bodies of the submissions.
std::multiset<std::string> submissions(const scripted_transport &transport)
{
    std::multiset<std::string> bodies;
    for (const auto &sent : transport.requests) {
        if (sent.path == "/v1/jobs") {
            bodies.insert(sent.body);
        }
    }
    return bodies;
}

} // namespace

BOOST_AUTO_TEST_SUITE(submit_session_test)

// Guards against a resubmission with another ticket or other content, which would run the tasks twice.
BOOST_AUTO_TEST_CASE(resubmitsTheSameTicketAfterALostConnection)
{
    scripted_transport transport;
    transport.jobResults = {Lost, OverloadedAgain, Lost, Complete};
    const job_answer answer = submit_session(quickSettings(), transport).run({"a"});
    BOOST_TEST((answer.state == job_state::complete));
    BOOST_TEST(answer.results.at(0) == "A");
    BOOST_TEST(transport.tickets == 1);
    const auto bodies = submissions(transport);
    BOOST_TEST(bodies.size() == 4);
    BOOST_TEST(std::set<std::string>(bodies.begin(), bodies.end()).size() == 1);
}

// Guards against retries that all go to the failed entry.
BOOST_AUTO_TEST_CASE(triesTheOtherEntries)
{
    scripted_transport transport;
    transport.jobResults = {Lost, Lost, Complete};
    submit_session(quickSettings(), transport).run({"a"});
    std::set<std::string> entries;
    for (const auto &sent : transport.requests) {
        entries.insert(sent.entry);
    }
    BOOST_TEST(entries.size() == 2);
}

// Guards against "not run" after an earlier submission of the ticket that may have been accepted.
BOOST_AUTO_TEST_CASE(doesNotSayNotRunAfterAnAnswerWasLost)
{
    auto settings = quickSettings();
    settings.attemptLimit = 6;
    scripted_transport transport;
    transport.jobResults = {Lost, OverloadedAgain};
    const job_answer answer = submit_session(settings, transport).run({"a"});
    BOOST_TEST((answer.state == job_state::failed));
    BOOST_TEST((answer.why == reason::outcomeUnknown));
    BOOST_TEST(!answer.notRun);
}

// Guards against a refusal that is reported as unknown although every submission was refused.
BOOST_AUTO_TEST_CASE(saysNotRunIfEverySubmissionWasRefused)
{
    auto settings = quickSettings();
    settings.attemptLimit = 6;
    scripted_transport transport;
    transport.jobResults = {Overloaded};
    const job_answer answer = submit_session(settings, transport).run({"a"});
    BOOST_TEST((answer.state == job_state::refused));
    BOOST_TEST((answer.why == reason::overloaded));
    BOOST_TEST(answer.notRun);
    BOOST_TEST(transport.requests.size() == 6);
}

// Guards against retries with a ticket that its home has closed, and against "unknown" for a job that certainly did not run.
BOOST_AUTO_TEST_CASE(takesANewTicketAfterNotRun)
{
    scripted_transport transport;
    transport.jobResults = {Lost, QueueFull, Complete};
    const job_answer answer = submit_session(quickSettings(), transport).run({"a"});
    BOOST_TEST((answer.state == job_state::complete));
    BOOST_TEST(transport.tickets == 2);
    BOOST_TEST(submissions(transport).size() == 3);

    auto settings = quickSettings();
    settings.attemptLimit = 5;
    scripted_transport refusing;
    refusing.jobResults = {Lost, QueueFull};
    const job_answer refused = submit_session(settings, refusing).run({"a"});
    BOOST_TEST((refused.state == job_state::refused));
    BOOST_TEST(refused.notRun);
}

// Guards against retries after permanent refusals and final failures.
BOOST_AUTO_TEST_CASE(doesNotRetryFinalAnswers)
{
    for (const std::string body : {R"({"state":"refused","reason":"unknown_kind","not_run":true})",
                                   R"({"state":"failed","reason":"task_failed","not_run":false})",
                                   R"({"state":"failed","reason":"outcome_unknown","not_run":false})"}) {
        scripted_transport transport;
        transport.jobResults = {answered(500, body)};
        submit_session(quickSettings(), transport).run({"a"});
        BOOST_TEST(submissions(transport).size() == 1, body);
    }
}

// Guards against a truncated or unrelated response that is treated as a refusal which says "not run".
BOOST_AUTO_TEST_CASE(takesAnUnreadableAnswerForALostOne)
{
    auto settings = quickSettings();
    settings.attemptLimit = 3;
    for (const std::string body : {"", "<html>", R"({"state":"refused","reason":"overl)", R"({"state":7})", R"({"state":"complete"})", "[]", "null"}) {
        scripted_transport transport;
        transport.jobResults = {answered(200, body)};
        const job_answer answer = submit_session(settings, transport).run({"a"});
        BOOST_TEST((answer.why == reason::outcomeUnknown), body);
        BOOST_TEST(!answer.notRun, body);
    }
}

// Guards against a submission without a ticket, and against a failed ticket request that is reported as unknown.
BOOST_AUTO_TEST_CASE(startsNothingWithoutATicket)
{
    auto settings = quickSettings();
    settings.attemptLimit = 4;
    scripted_transport transport;
    transport.ticketResults = {Lost, Overloaded, Lost, Overloaded};
    const job_answer answer = submit_session(settings, transport).run({"a"});
    BOOST_TEST((answer.state == job_state::refused));
    BOOST_TEST(answer.notRun);
    BOOST_TEST(submissions(transport).empty());
}

// Guards against retries beyond the time limit.
BOOST_AUTO_TEST_CASE(endsWithTheTimeLimit)
{
    auto settings = quickSettings();
    settings.timeLimit = milliseconds(30);
    scripted_transport transport;
    transport.jobResults = {Overloaded};
    const job_answer answer = submit_session(settings, transport).run({"a"});
    BOOST_TEST((answer.why == reason::overloaded));
    BOOST_TEST(transport.requests.size() < 40);
}

BOOST_AUTO_TEST_SUITE_END()
