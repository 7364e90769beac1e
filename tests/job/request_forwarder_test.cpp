#include "job/entry_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

// Returns a ticket of another entry.
ticket foreignTicket()
{
    return {.home = "10.0.0.2:1", .id = {.incarnation = 200, .sequence = 3}, .issuedAt = {}};
}

forward_answered unreachable(const request_id &request)
{
    return {.request = request, .reached = false, .otherIncarnation = false, .answer = {}};
}

// Fails every attempt to reach the home until the request is answered or recovered. Returns the number of attempts.
int failAllAttempts(entry_fixture &entry, const request_id &request)
{
    int attempts = 0;
    while (entry.count<forward_job>() == 1) {
        ++attempts;
        entry.handle(unreachable(request));
        if (entry.actions.empty()) {
            entry.advance(900ms);
        }
    }
    return attempts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(request_forwarder_test)

// Guards against a job that runs at an entry that is not its home, and against an answer that is not passed on.
BOOST_AUTO_TEST_CASE(aForeignTicketIsForwardedToItsHome)
{
    entry_fixture entry;
    entry.joinAgent(1);
    const request_id request = entry.submit(entry.jobFor(foreignTicket(), 2));
    BOOST_TEST(entry.count<start_task>() == 0U);
    BOOST_TEST((entry.get<forward_job>().request == request));
    BOOST_TEST(entry.get<forward_job>().job.payloads.size() == 2U);
    job_answer answer;
    answer.state = job_state::complete;
    answer.results = {"a", "b"};
    entry.handle(forward_answered{.request = request, .reached = true, .otherIncarnation = false, .answer = answer});
    BOOST_TEST((entry.get<reply_job>().request == request));
    BOOST_TEST(entry.get<reply_job>().answer.results == answer.results);
    entry.handle(forward_answered{.request = request, .reached = true, .otherIncarnation = false, .answer = answer});
    BOOST_TEST(entry.actions.empty());
}

// Guards against queries and cancellations that an entry answers although it is not the home.
BOOST_AUTO_TEST_CASE(queriesAndCancellationsAreForwarded)
{
    entry_fixture entry;
    const request_id query = entry.query(foreignTicket(), 700ms);
    BOOST_TEST((entry.get<forward_query>().request == query));
    BOOST_TEST(entry.get<forward_query>().wait.count() == 700);
    const request_id cancel = entry.cancel(foreignTicket());
    BOOST_TEST((entry.get<forward_cancel>().request == cancel));
    entry.handle(forward_answered{.request = cancel, .reached = true, .otherIncarnation = true, .answer = {}});
    BOOST_TEST((entry.get<reply_job>().answer.why == reason::homeUnreachable));
    BOOST_TEST(!entry.get<reply_job>().answer.notRun);
    BOOST_TEST(entry.count<fence_ticket>() == 0U);
}

// Guards against a forwarding loop between two entries.
BOOST_AUTO_TEST_CASE(aForwardedRequestIsNotForwardedAgain)
{
    entry_fixture entry;
    entry.handle(job_submitted{.request = {.origin = request_origin::peer, .number = 1}, .job = entry.jobFor(foreignTicket())});
    BOOST_TEST((entry.get<reply_job>().answer.why == reason::homeUnreachable));
    BOOST_TEST(!entry.get<reply_job>().answer.notRun);
}

// Guards against a fence after a short interruption, which would end the jobs of a live home.
BOOST_AUTO_TEST_CASE(aShortInterruptionIsRetried)
{
    entry_fixture entry;
    entry.joinAgent(1);
    const request_id request = entry.submit(entry.jobFor(foreignTicket()));
    entry.handle(unreachable(request));
    BOOST_TEST(entry.actions.empty());
    entry.advance(100ms);
    BOOST_TEST((entry.get<forward_job>().request == request));
    job_answer answer;
    answer.state = job_state::complete;
    answer.results = {"a"};
    entry.handle(forward_answered{.request = request, .reached = true, .otherIncarnation = false, .answer = answer});
    BOOST_TEST((entry.get<reply_job>().answer.state == job_state::complete));
}

// Guards against a fence when many requests fail at once because one connection was lost.
BOOST_AUTO_TEST_CASE(manyFailuresAtOnceAreOneInterruption)
{
    entry_fixture entry;
    entry.joinAgent(1);
    for (std::uint64_t sequence = 1; sequence <= 20; ++sequence) {
        const request_id request = entry.submit(entry.jobFor({.home = "10.0.0.2:1", .id = {.incarnation = 200, .sequence = sequence}, .issuedAt = {}}));
        entry.handle(unreachable(request));
        BOOST_TEST(entry.count<fence_ticket>() == 0U);
    }
}

// Guards against a caller that waits forever for a home entry that is gone.
BOOST_AUTO_TEST_CASE(aHomeThatStaysUnreachableIsGivenUp)
{
    entry_fixture entry;
    entry.joinAgent(1);
    const request_id request = entry.submit(entry.jobFor(foreignTicket()));
    const int attempts = failAllAttempts(entry, request);
    BOOST_TEST(attempts >= 3);
    BOOST_TEST(attempts <= 10);
    BOOST_TEST((entry.get<fence_ticket>().ticket == foreignTicket().id));
    const request_id second = entry.submit(entry.jobFor({.home = "10.0.0.2:1", .id = {.incarnation = 200, .sequence = 4}, .issuedAt = {}}));
    entry.handle(unreachable(second));
    BOOST_TEST(entry.count<fence_ticket>() == 1U);
}

// Guards against retries beyond the time limit of the caller, and against a false "not run".
BOOST_AUTO_TEST_CASE(retriesEndAtTheTimeLimitOfTheCaller)
{
    entry_fixture entry;
    entry.joinAgent(1);
    job_request job = entry.jobFor(foreignTicket());
    job.timeLimit = 500ms;
    const request_id request = entry.submit(job);
    failAllAttempts(entry, request);
    BOOST_TEST(entry.count<fence_ticket>() == 0U);
    BOOST_TEST((entry.get<reply_job>().answer.state == job_state::refused));
    BOOST_TEST((entry.get<reply_job>().answer.why == reason::homeUnreachable));
    BOOST_TEST(!entry.get<reply_job>().answer.notRun);
    BOOST_TEST(entry.get<reply_job>().answer.retryAfter.count() > 0);
}

// Guards against a restarted entry that forwards tickets of its previous incarnation to itself.
BOOST_AUTO_TEST_CASE(aRestartedHomeRecoversItsFormerTickets)
{
    entry_fixture entry;
    entry.joinAgent(1);
    ticket former = foreignTicket();
    former.home = entry.settings.self.address;
    entry.submit(entry.jobFor(former));
    BOOST_TEST(entry.count<forward_job>() == 0U);
    BOOST_TEST(entry.count<fence_ticket>() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
