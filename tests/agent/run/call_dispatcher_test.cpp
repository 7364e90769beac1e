#include "agent/run/call_dispatcher.h"
#include "log/null_logger.h"

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <variant>
#include <vector>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds StartLimit = 80ms;

constexpr std::chrono::milliseconds EndpointTime = 5000ms;

/** Supervisor of an endpoint that is ready, with a dispatcher for its calls. */
struct dispatched_endpoint {
    dispatched_endpoint()
        : supervisor({.fencingToken = 10, .endpointStart = 77ms}, now, log)
    {
        for (int i = 0; i < 2; ++i) { // The second list renews the lease.
            answer(std::get<list_runs>(collect(1).back()));
        }
        collect(1);
        BOOST_TEST_REQUIRE(supervisor.isReady());
    }

    void answer(const list_runs &call)
    {
        list_runs_result lists;
        lists.number = call.number;
        lists.result = call_result::accepted;
        lists.endpointTime = EndpointTime;
        lists.endpointStart = 77ms;
        supervisor.listed(lists, now);
    }

    void order(std::uint32_t index)
    {
        call_endpoint call;
        call.id = {.ticket = {.incarnation = 1, .sequence = 1}, .index = index, .attempt = 1};
        call.key = "00112233aabbccdd";
        call.payload = "spec";
        call.timeLimit = 10s;
        supervisor.start(call, now);
    }

    std::vector<run_call> collect(std::size_t idleConnections, std::size_t openingLists = 0)
    {
        return dispatcher.collect(supervisor, idleConnections, openingLists, now);
    }

    // Returns the positions of the tasks whose starts are among the calls.
    static std::vector<std::uint32_t> startsOf(const std::vector<run_call> &calls)
    {
        std::vector<std::uint32_t> positions;
        for (const run_call &call : calls) {
            if (const auto *start = std::get_if<start_run>(&call)) {
                positions.push_back(start->id.index);
            }
        }
        return positions;
    }

    mono_time now{1h};
    null_logger log;
    run_supervisor supervisor;
    call_dispatcher dispatcher{StartLimit};
};

using positions = std::vector<std::uint32_t>;

} // namespace

BOOST_AUTO_TEST_SUITE(call_dispatcher_test)

// Guards against a start through a new connection, which the next instance of the endpoint may have accepted.
BOOST_AUTO_TEST_CASE(startsWaitForIdleConfirmedConnections)
{
    dispatched_endpoint endpoint;
    endpoint.order(1);
    endpoint.order(2);
    BOOST_TEST(dispatched_endpoint::startsOf(endpoint.collect(0)).empty());
    BOOST_TEST((dispatched_endpoint::startsOf(endpoint.collect(1)) == positions{1}));
    BOOST_TEST((dispatched_endpoint::startsOf(endpoint.collect(1)) == positions{2}));
}

// Guards against a start that waits although the endpoint would answer a list call on a new connection.
BOOST_AUTO_TEST_CASE(startsThatWaitRequestAListEach)
{
    dispatched_endpoint endpoint;
    endpoint.order(1);
    endpoint.order(2);
    endpoint.order(3);
    const std::vector<run_call> calls = endpoint.collect(0, 1);
    BOOST_TEST(calls.size() == 2U);
    for (const run_call &call : calls) {
        BOOST_TEST_REQUIRE(std::holds_alternative<list_runs>(call));
        BOOST_TEST(!call_dispatcher::needsConfirmed(call));
    }
    BOOST_TEST(endpoint.collect(0, 3).empty());
}

// Guards against a start that waits for ever while the endpoint does not answer, and against one that is sent after it was reported.
BOOST_AUTO_TEST_CASE(aStartThatWaitsTooLongIsReportedAsNotSent)
{
    dispatched_endpoint endpoint;
    endpoint.order(1);
    endpoint.collect(0);
    BOOST_TEST((endpoint.dispatcher.nextDue() == endpoint.now + StartLimit));
    endpoint.now += StartLimit;
    endpoint.collect(0);
    const std::vector<call_finished> ends = endpoint.supervisor.takeEnds();
    BOOST_TEST_REQUIRE(ends.size() == 1U);
    BOOST_TEST((ends[0].outcome.verdict == task_verdict::notStarted));
    BOOST_TEST(dispatched_endpoint::startsOf(endpoint.collect(1)).empty());
    BOOST_TEST((endpoint.dispatcher.nextDue() == mono_time::max()));
}

// Guards against a start that is sent after its run was reported as ended with the endpoint.
BOOST_AUTO_TEST_CASE(noStartIsSentOnceTheEndpointIsLost)
{
    dispatched_endpoint endpoint;
    endpoint.order(1);
    endpoint.collect(0);
    list_runs_result refused;
    refused.number = 100;
    refused.result = call_result::unreachable;
    endpoint.supervisor.listed(refused, endpoint.now);
    BOOST_TEST(endpoint.supervisor.isLost());
    BOOST_TEST(endpoint.collect(1).empty());
}

// Guards against a start that loses its turn because its connection was closed meanwhile.
BOOST_AUTO_TEST_CASE(aStartThatWasNotSentComesFirst)
{
    dispatched_endpoint endpoint;
    endpoint.order(1);
    const std::vector<run_call> calls = endpoint.collect(1);
    BOOST_TEST_REQUIRE((dispatched_endpoint::startsOf(calls) == positions{1}));
    endpoint.order(2);
    endpoint.dispatcher.putBack(calls.front(), endpoint.now);
    BOOST_TEST((dispatched_endpoint::startsOf(endpoint.collect(1)) == positions{1}));
}

// Guards against a lease and an acknowledgement that the next instance of the endpoint takes for its own runs.
BOOST_AUTO_TEST_CASE(aListWithoutAConfirmedConnectionChangesNothing)
{
    dispatched_endpoint endpoint;
    endpoint.supervisor.requestLists(endpoint.now);
    const std::vector<run_call> calls = endpoint.collect(0);
    BOOST_TEST_REQUIRE(calls.size() == 1U);
    const auto &list = std::get<list_runs>(calls[0]);
    BOOST_TEST(!list.leaseEnd.has_value());
    BOOST_TEST(list.acknowledged == 0U);
    BOOST_TEST(list.wait.count() == 0);
}

// Guards against a lease that is never renewed.
BOOST_AUTO_TEST_CASE(aListOnAConfirmedConnectionRenewsTheLease)
{
    dispatched_endpoint endpoint;
    endpoint.supervisor.requestLists(endpoint.now);
    const std::vector<run_call> calls = endpoint.collect(1);
    BOOST_TEST_REQUIRE(calls.size() == 1U);
    BOOST_TEST(std::get<list_runs>(calls[0]).leaseEnd.has_value());
    BOOST_TEST(call_dispatcher::needsConfirmed(calls[0]));
}

// Guards against a stop that waits: it changes nothing in the next instance, and bounds how long a run goes on.
BOOST_AUTO_TEST_CASE(aStopIsSentAtOnce)
{
    dispatched_endpoint endpoint;
    endpoint.order(1);
    endpoint.collect(1);
    endpoint.supervisor.stop({.ticket = {.incarnation = 1, .sequence = 1}, .index = 1, .attempt = 1}, endpoint.now);
    const std::vector<run_call> calls = endpoint.collect(0);
    BOOST_TEST_REQUIRE(calls.size() == 1U);
    BOOST_TEST(std::holds_alternative<stop_run>(calls[0]));
}

BOOST_AUTO_TEST_SUITE_END()
