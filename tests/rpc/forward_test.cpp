#include "rpc/tcp_relay.h"
#include "rpc/test_entry.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <optional>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

ticket ticketOf(const test_entry &home, std::uint64_t incarnation)
{
    return {home.rpc.address(), ticket_id{incarnation, 5}, 77ms};
}

forward_job jobFor(const ticket &source, std::uint64_t number)
{
    return {request_id{request_origin::caller, number}, job_request{source, "team-a", "check", 1500ms, {"one", std::string("t\0o", 3), ""}, "order-1"}};
}

// Two entries that are connected.
struct two_entries {
    two_entries()
        : home(11)
        , other(12, {home.rpc.address()})
    {
        BOOST_REQUIRE(home.events.waitFor<peer_joined>().has_value());
        BOOST_REQUIRE(other.events.waitFor<peer_joined>().has_value());
    }

    test_entry home;
    test_entry other;
};

} // namespace

BOOST_AUTO_TEST_SUITE(forward_test)

// Guards against a forwarded submission or answer that loses a field, and against an answer that goes to the wrong request.
BOOST_FIXTURE_TEST_CASE(carriesASubmissionAndItsAnswer, two_entries)
{
    const ticket source = ticketOf(home, 11);
    BOOST_REQUIRE(other.rpc.post(jobFor(source, 1)));
    BOOST_REQUIRE(other.rpc.post(jobFor(source, 2)));
    const auto first = home.events.waitFor<job_submitted>();
    const auto second = home.events.waitFor<job_submitted>();
    BOOST_REQUIRE(first.has_value());
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST((first->request.origin == request_origin::peer));
    BOOST_TEST(first->request.number != second->request.number);
    BOOST_TEST((first->job.source == source));
    BOOST_TEST(first->job.team == "team-a");
    BOOST_TEST(first->job.kind == "check");
    BOOST_TEST(first->job.timeLimit.count() == 1500);
    BOOST_TEST(first->job.key == "order-1");
    BOOST_REQUIRE(first->job.payloads.size() == 3U);
    BOOST_TEST(first->job.payloads[1] == std::string("t\0o", 3));

    // The answers are sent in reverse order.
    BOOST_REQUIRE(home.rpc.post(reply_job{second->request, source.id, {job_state::refused, reason::queueFull, true, {}, 250ms}}));
    BOOST_REQUIRE(home.rpc.post(reply_job{first->request, source.id, {job_state::complete, reason::none, false, {"a", "b", "c"}, 0ms}}));
    const auto refused = other.events.waitFor<forward_answered>();
    BOOST_REQUIRE(refused.has_value());
    BOOST_TEST((refused->request == request_id{request_origin::caller, 2}));
    BOOST_TEST(refused->reached);
    BOOST_TEST(!refused->otherIncarnation);
    BOOST_TEST((refused->answer.state == job_state::refused));
    BOOST_TEST((refused->answer.why == reason::queueFull));
    BOOST_TEST(refused->answer.notRun);
    BOOST_TEST((refused->answer.retryAfter == 250ms));
    const auto complete = other.events.waitFor<forward_answered>();
    BOOST_REQUIRE(complete.has_value());
    BOOST_TEST((complete->request == request_id{request_origin::caller, 1}));
    BOOST_TEST((complete->answer.state == job_state::complete));
    BOOST_TEST(complete->answer.results.size() == 3U);
    BOOST_TEST(complete->answer.results.back() == "c");
}

// Guards against a query or a cancellation that changes on its way, and against requests that work only from the side that opened
// the connection.
BOOST_FIXTURE_TEST_CASE(carriesQueriesAndCancellationsInBothDirections, two_entries)
{
    const ticket atHome = ticketOf(home, 11);
    BOOST_REQUIRE(other.rpc.post(forward_query{request_id{request_origin::caller, 1}, atHome, 900ms}));
    const auto query = home.events.waitFor<job_queried>();
    BOOST_REQUIRE(query.has_value());
    BOOST_TEST((query->source == atHome));
    BOOST_TEST((query->wait == 900ms));
    BOOST_REQUIRE(home.rpc.post(reply_job{query->request, atHome.id, {job_state::running, reason::none, false, {}, 0ms}}));
    const auto running = other.events.waitFor<forward_answered>();
    BOOST_REQUIRE(running.has_value());
    BOOST_TEST((running->answer.state == job_state::running));

    const ticket atOther = ticketOf(other, 12);
    BOOST_REQUIRE(home.rpc.post(forward_cancel{request_id{request_origin::caller, 9}, atOther}));
    const auto cancel = other.events.waitFor<job_cancelled>();
    BOOST_REQUIRE(cancel.has_value());
    BOOST_TEST((cancel->source == atOther));
    BOOST_REQUIRE(other.rpc.post(reply_job{cancel->request, atOther.id, {job_state::failed, reason::cancelled, false, {}, 0ms}}));
    const auto cancelled = home.events.waitFor<forward_answered>();
    BOOST_REQUIRE(cancelled.has_value());
    BOOST_TEST((cancelled->request == request_id{request_origin::caller, 9}));
    BOOST_TEST((cancelled->answer.why == reason::cancelled));
}

// Guards against a job whose ticket comes from an earlier incarnation and that the newer one at the same address would start.
BOOST_FIXTURE_TEST_CASE(reportsAnotherIncarnationWithoutSending, two_entries)
{
    BOOST_REQUIRE(other.rpc.post(jobFor(ticketOf(home, 10), 3)));
    const auto answered = other.events.waitFor<forward_answered>();
    BOOST_REQUIRE(answered.has_value());
    BOOST_TEST(answered->reached);
    BOOST_TEST(answered->otherIncarnation);
    home.events.collect(100ms);
    BOOST_TEST(home.events.count<job_submitted>() == 0U);
}

// Guards against a forward that fails because this entry, after its restart, does not know the home entry yet.
BOOST_AUTO_TEST_CASE(connectsToAnUnknownHome)
{
    test_entry home(11);
    test_entry other(12);
    BOOST_REQUIRE(other.rpc.post(jobFor(ticketOf(home, 11), 1)));
    const auto job = home.events.waitFor<job_submitted>();
    BOOST_REQUIRE(job.has_value());
    BOOST_REQUIRE(home.rpc.post(reply_job{job->request, job->job.source.id, {job_state::complete, reason::none, false, {"a"}, 0ms}}));
    const auto answered = other.events.waitFor<forward_answered>();
    BOOST_REQUIRE(answered.has_value());
    BOOST_TEST(answered->reached);
    BOOST_TEST(answered->answer.results.size() == 1U);
}

// Guards against a forward that is never answered because its home refuses connections, does not respond or has no valid address.
BOOST_AUTO_TEST_CASE(reportsAHomeThatCannotBeReached)
{
    test_entry other(12);
    std::string refusing;
    {
        const test_entry gone(11);
        refusing = gone.rpc.address();
    }
    const test_entry home(11);
    tcp_relay relay(home.rpc.address());
    relay.freeze();
    const std::vector<std::string> addresses = {refusing, relay.address(), "nonsense", "", "10.0.0.1:99999"};
    for (const std::string &address : addresses) {
        BOOST_TEST_CONTEXT("address=" << address)
        {
            BOOST_REQUIRE(other.rpc.post(jobFor({address, ticket_id{11, 5}, 0ms}, 1)));
            const auto answered = other.events.waitFor<forward_answered>();
            BOOST_REQUIRE(answered.has_value());
            BOOST_TEST(!answered->reached);
        }
    }
}

// Guards against a forward that is not answered, or answered twice, when its home stops before the answer.
BOOST_AUTO_TEST_CASE(reportsALossWhileWaitingOnce)
{
    std::optional<test_entry> home;
    home.emplace(11);
    test_entry other(12, {home->rpc.address()});
    BOOST_REQUIRE(other.events.waitFor<peer_joined>().has_value());
    BOOST_REQUIRE(other.rpc.post(jobFor(ticketOf(*home, 11), 1)));
    BOOST_REQUIRE(home->events.waitFor<job_submitted>().has_value());
    home.reset();
    const auto answered = other.events.waitFor<forward_answered>();
    BOOST_REQUIRE(answered.has_value());
    BOOST_TEST(!answered->reached);
    other.events.collect(300ms);
    BOOST_TEST(other.events.count<forward_answered>() == 1U);
    BOOST_TEST(other.events.count<peer_lost>() == 1U);
}

// Guards against a fault in the adapter when the answer comes after the requesting peer has disconnected.
BOOST_AUTO_TEST_CASE(dropsTheAnswerToALostPeer)
{
    test_entry home(11);
    std::optional<test_entry> other;
    other.emplace(12, std::vector<std::string>{home.rpc.address()});
    BOOST_REQUIRE(other->events.waitFor<peer_joined>().has_value());
    BOOST_REQUIRE(other->rpc.post(jobFor(ticketOf(home, 11), 1)));
    const auto job = home.events.waitFor<job_submitted>();
    BOOST_REQUIRE(job.has_value());
    other.reset();
    BOOST_REQUIRE(home.events.waitFor<peer_lost>().has_value());
    BOOST_REQUIRE(home.rpc.post(reply_job{job->request, job->job.source.id, {}}));
    test_entry third(13, {home.rpc.address()});
    BOOST_REQUIRE(third.events.waitFor<peer_joined>().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
