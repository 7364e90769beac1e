#include "http/endpoint_client.h"

#include "http/raw_endpoint.h"
#include "log/null_logger.h"
#include "stub/endpoint_stub.h"

#include <boost/test/unit_test.hpp>

#include <sys/socket.h>

#include <array>
#include <cstdlib>
#include <set>
#include <string>
#include <variant>
#include <vector>

using namespace teaselward;

namespace
{

/** Client with the ring that gets its events. */
struct fixture {
    explicit fixture(const std::string &address, std::uint32_t connections = 64)
        : events(256)
        , client({.address = address, .connections = connections}, events, log)
    {
    }

    void post(std::uint32_t index, const std::string &payload, std::chrono::milliseconds limit = std::chrono::seconds(20))
    {
        call_endpoint call{{{7, 3}, index}, "check", payload, limit};
        const bool taken = client.post(std::move(call));
        BOOST_REQUIRE(taken);
    }

    call_finished next()
    {
        auto event = events.popUntil(mono_clock::now() + std::chrono::seconds(20));
        BOOST_REQUIRE(event.has_value());
        return std::get<call_finished>(std::move(*event));
    }

    null_logger log;
    bounded_ring<agent_event> events;
    endpoint_client client;
};

} // namespace

BOOST_AUTO_TEST_SUITE(endpoint_client_test)

// Guards against a result or a task identifier that is not transmitted correctly.
BOOST_AUTO_TEST_CASE(returnsTheResultOfTheEndpoint)
{
    const endpoint_stub stub({});
    fixture client(stub.address());
    client.post(5, "payload");
    const call_finished finished = client.next();
    BOOST_TEST((finished.id == task_id{{7, 3}, 5}));
    BOOST_TEST((finished.outcome.verdict == task_verdict::succeeded));
    BOOST_TEST(finished.outcome.body == "PAYLOAD");
    BOOST_TEST(stub.tasks().at(0) == "7-3-5");
    BOOST_TEST(stub.paths().at(0) == "/run/check");
}

// Guards against a kind whose name changes the path or adds a header.
BOOST_AUTO_TEST_CASE(escapesTheKind)
{
    const endpoint_stub stub({});
    fixture client(stub.address());
    call_endpoint call{{{7, 3}, 0}, "a/../b?c d\r\nX: y", "", std::chrono::seconds(20)};
    const bool taken = client.client.post(std::move(call));
    BOOST_REQUIRE(taken);
    BOOST_TEST((client.next().outcome.verdict == task_verdict::succeeded));
    BOOST_TEST(stub.paths().at(0) == "/run/a/../b?c d\r\nX: y");
}

// Guards against failures of an endpoint that are reported as results, and against a declined task that is lost.
BOOST_AUTO_TEST_CASE(distinguishesFailedFromDeclinedTasks)
{
    const endpoint_stub failing({.fail = true});
    fixture first(failing.address());
    first.post(0, "a");
    const task_outcome failed = first.next().outcome;
    BOOST_TEST((failed.verdict == task_verdict::failed));
    BOOST_TEST((failed.why == reason::taskFailed));

    const endpoint_stub declining({.decline = true});
    fixture second(declining.address());
    second.post(0, "a");
    const task_outcome declined = second.next().outcome;
    BOOST_TEST((declined.verdict == task_verdict::notStarted));
    BOOST_TEST((declined.why == reason::overloaded));
}

// Guards against a refused connection that fails the job although the task can run elsewhere.
BOOST_AUTO_TEST_CASE(aRefusedConnectionStartsNothing)
{
    std::string address;
    {
        const raw_endpoint closed([](int) {});
        address = closed.address();
    }
    fixture client(address);
    client.post(0, "a");
    const task_outcome outcome = client.next().outcome;
    BOOST_TEST((outcome.verdict == task_verdict::notStarted));
    BOOST_TEST((outcome.why == reason::noEndpoint));
}

// Guards against a request that the endpoint has read but that counts as not started, which would run the task twice. Also
// guards against libcurl sending the request again.
BOOST_AUTO_TEST_CASE(aConnectionLostAfterTheRequestIsUnknown)
{
    const raw_endpoint endpoint([](int descriptor) {
        raw_endpoint::readRequest(descriptor, 1);
    });
    fixture client(endpoint.address());
    for (std::uint32_t i = 0; i < 20; ++i) {
        client.post(i, "a");
        const task_outcome outcome = client.next().outcome;
        BOOST_TEST((outcome.verdict == task_verdict::unknown));
        BOOST_TEST((outcome.why == reason::outcomeUnknown));
    }
    BOOST_TEST(endpoint.accepted() == 20);
}

// Guards against a reset before the request was read that counts as not started: the operating system has accepted the bytes,
// so the client cannot know whether the endpoint read them.
BOOST_AUTO_TEST_CASE(aResetAfterBytesWereSentIsUnknown)
{
    const raw_endpoint endpoint([](int descriptor) {
        std::array<char, 1> byte{};
        ::recv(descriptor, byte.data(), 1, 0);
        const linger reset{1, 0};
        ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    });
    fixture client(endpoint.address());
    client.post(0, std::string(3U << 20U, 'x'));
    BOOST_TEST((client.next().outcome.verdict == task_verdict::unknown));
}

// Guards against a truncated response that is reported as a result, or as a failure that the endpoint has not reported.
BOOST_AUTO_TEST_CASE(aTruncatedAnswerIsUnknown)
{
    const std::vector<std::string> answers = {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
                                              "HTTP/1.1 200 OK\r\nContent-Le",
                                              "HTTP/1.1 200 OK\r\n",
                                              "HTTP/1.1 200 OK\r\n\r\nwithout a length",
                                              "HTTP/1.1 100 Continue\r\n\r\n",
                                              "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4",
                                              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhalf",
                                              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                                              "HTTP/1.1 503 Busy\r\nTeaselward-Not-Run: 1\r\nContent-Length: 10\r\n\r\nhalf",
                                              "no HTTP at all",
                                              ""};
    for (const std::string &answer : answers) {
        const raw_endpoint endpoint([&answer](int descriptor) {
            raw_endpoint::readRequest(descriptor, 1);
            raw_endpoint::write(descriptor, answer);
        });
        fixture client(endpoint.address());
        client.post(0, "a");
        BOOST_TEST((client.next().outcome.verdict == task_verdict::unknown), answer);
    }
}

// Guards against complete responses that are treated as truncated.
BOOST_AUTO_TEST_CASE(aWholeAnswerIsAResult)
{
    const std::vector<std::string> answers = {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nA",
                                              "HTTP/1.0 200 OK\r\ncontent-length:1\r\n\r\nA",
                                              "HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nA\r\n0\r\n\r\n",
                                              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nA\r\n0\r\nX-Sum: 1\r\n\r\n",
                                              "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nA"};
    for (const std::string &answer : answers) {
        const raw_endpoint endpoint([&answer](int descriptor) {
            raw_endpoint::readRequest(descriptor, 1);
            raw_endpoint::write(descriptor, answer);
        });
        fixture client(endpoint.address());
        client.post(0, "a");
        const task_outcome outcome = client.next().outcome;
        BOOST_TEST((outcome.verdict == task_verdict::succeeded), answer);
        BOOST_TEST(outcome.body == "A");
    }
}

// Guards against a reused connection: an endpoint that closes it just as the next request arrives may have read that request,
// and libcurl would send the request again.
BOOST_AUTO_TEST_CASE(eachCallHasItsOwnConnection)
{
    const raw_endpoint endpoint([](int descriptor) {
        const std::string request = raw_endpoint::readRequest(descriptor, 1);
        raw_endpoint::write(descriptor, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: keep-alive\r\n\r\nA");
    });
    fixture client(endpoint.address());
    for (std::uint32_t i = 0; i < 5; ++i) {
        client.post(i, "a");
        BOOST_TEST((client.next().outcome.verdict == task_verdict::succeeded));
    }
    BOOST_TEST(endpoint.accepted() == 5);
}

// Guards against a slow endpoint that occupies a slot forever, and against a running task that is reported as not started.
BOOST_AUTO_TEST_CASE(theTimeLimitEndsACallAsUnknown)
{
    const endpoint_stub stub({.delay = std::chrono::milliseconds(1500)});
    fixture client(stub.address());
    client.post(0, "a", std::chrono::milliseconds(200));
    const task_outcome outcome = client.next().outcome;
    BOOST_TEST((outcome.verdict == task_verdict::unknown));
    BOOST_TEST((outcome.why == reason::deadlineExceeded));
}

// Guards against a time limit of zero, which means "no limit" to libcurl.
BOOST_AUTO_TEST_CASE(aCallWithoutTimeLeftIsNotStarted)
{
    const endpoint_stub stub({});
    fixture client(stub.address());
    client.post(0, "a", std::chrono::milliseconds(0));
    client.post(1, "a", std::chrono::milliseconds(-5));
    for (int i = 0; i < 2; ++i) {
        const task_outcome outcome = client.next().outcome;
        BOOST_TEST((outcome.verdict == task_verdict::notStarted));
        BOOST_TEST((outcome.why == reason::deadlineExceeded));
    }
    BOOST_TEST(stub.tasks().empty());
}

// Guards against a result that exhausts the memory of the agent.
BOOST_AUTO_TEST_CASE(aResultAboveTheLimitFails)
{
    const endpoint_stub stub({});
    null_logger log;
    bounded_ring<agent_event> events(4);
    endpoint_client client({.address = stub.address(), .resultLimit = 1000}, events, log);
    for (const std::size_t size : {1000U, 1001U}) {
        call_endpoint call{{{7, 3}, 0}, "check", std::string(size, 'x'), std::chrono::seconds(20)};
        const bool taken = client.post(std::move(call));
        BOOST_REQUIRE(taken);
    }
    int succeeded = 0;
    int failed = 0;
    for (int i = 0; i < 2; ++i) {
        const auto event = events.pop();
        const task_outcome &outcome = std::get<call_finished>(*event).outcome;
        succeeded += outcome.verdict == task_verdict::succeeded && outcome.body.size() == 1000 ? 1 : 0;
        failed += outcome.verdict == task_verdict::failed ? 1 : 0;
    }
    BOOST_TEST(succeeded == 1);
    BOOST_TEST(failed == 1);
}

// Guards against more connections than the endpoint accepts, and against calls that are lost or run one after the other.
BOOST_AUTO_TEST_CASE(limitsItsConnections)
{
    const endpoint_stub stub({.delay = std::chrono::milliseconds(20)});
    fixture client(stub.address(), 4);
    constexpr std::uint32_t count = 40;
    for (std::uint32_t i = 0; i < count; ++i) {
        client.post(i, "p" + std::to_string(i));
    }
    std::set<std::uint32_t> seen;
    for (std::uint32_t i = 0; i < count; ++i) {
        const call_finished finished = client.next();
        BOOST_TEST((finished.outcome.verdict == task_verdict::succeeded));
        BOOST_TEST(finished.outcome.body == "P" + std::to_string(finished.id.index));
        BOOST_TEST((finished.outcome.runTime >= std::chrono::milliseconds(20)));
        seen.insert(finished.id.index);
    }
    BOOST_TEST(seen.size() == count);
    BOOST_TEST(stub.maxConcurrentRequests() <= 4);
    BOOST_TEST(stub.maxConcurrentRequests() > 1);
}

// Guards against a stop that aborts calls in progress, or loses calls that were accepted.
BOOST_AUTO_TEST_CASE(stopWaitsForCallsInProgress)
{
    const endpoint_stub stub({.delay = std::chrono::milliseconds(50)});
    fixture client(stub.address(), 2);
    for (std::uint32_t i = 0; i < 6; ++i) {
        client.post(i, "a");
    }
    client.client.stop();
    for (std::uint32_t i = 0; i < 6; ++i) {
        const auto event = client.events.tryPop();
        BOOST_REQUIRE(event.has_value());
        BOOST_TEST((std::get<call_finished>(*event).outcome.verdict == task_verdict::succeeded));
    }
    call_endpoint call{{{7, 3}, 9}, "check", "payload", std::chrono::seconds(1)};
    const bool taken = client.client.post(std::move(call));
    BOOST_TEST(!taken);
    BOOST_TEST(call.payload == "payload"); // NOLINT(bugprone-use-after-move): a refused call is not moved from.
}

// Guards against an environment variable that redirects tasks to a proxy.
BOOST_AUTO_TEST_CASE(ignoresProxiesOfTheEnvironment)
{
    const raw_endpoint proxy([](int descriptor) {
        raw_endpoint::readRequest(descriptor, 1);
    });
    ::setenv("http_proxy", ("http://" + proxy.address()).c_str(), 1);
    const endpoint_stub stub({});
    fixture client(stub.address());
    client.post(0, "a");
    const task_outcome outcome = client.next().outcome;
    ::unsetenv("http_proxy");
    BOOST_TEST((outcome.verdict == task_verdict::succeeded));
    BOOST_TEST(proxy.accepted() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
