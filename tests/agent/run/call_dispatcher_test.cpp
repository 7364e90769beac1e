#include "agent/run/call_dispatcher.h"

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <variant>
#include <vector>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds StartLimit = 80ms;
constexpr mono_time Now{1h};

start_run start(std::uint32_t index)
{
    return {.id = {.job = "00112233aabbccdd", .index = index}, .spec = "spec", .leaseEnd = 500ms};
}

list_runs renewal()
{
    return {.number = 7, .leaseEnd = 500ms, .acknowledged = 3, .wait = 50ms};
}

} // namespace

BOOST_AUTO_TEST_SUITE(call_dispatcher_test)

// Guards against a start through a new connection, which the next instance of the endpoint may have accepted.
BOOST_AUTO_TEST_CASE(startsWaitForIdleConfirmedConnections)
{
    call_dispatcher dispatcher(StartLimit);
    dispatcher.add(start(1), Now);
    dispatcher.add(start(2), Now);
    BOOST_TEST(dispatcher.takeReady(0).empty());
    const std::vector<run_call> ready = dispatcher.takeReady(1);
    BOOST_TEST_REQUIRE(ready.size() == 1U);
    BOOST_TEST(std::get<start_run>(ready[0]).id.index == 1U);
    BOOST_TEST(dispatcher.waitingStarts() == 1U);
}

// Guards against a start that waits for ever while the endpoint does not answer, and against one that is sent after it was reported.
BOOST_AUTO_TEST_CASE(aStartThatWaitsTooLongIsNotSent)
{
    call_dispatcher dispatcher(StartLimit);
    dispatcher.add(start(1), Now);
    dispatcher.add(start(2), Now + 1ms);
    BOOST_TEST((dispatcher.nextDue() == Now + StartLimit));
    BOOST_TEST(dispatcher.takeExpired(Now + StartLimit - 1ms).empty());
    const std::vector<run_id> expired = dispatcher.takeExpired(Now + StartLimit);
    BOOST_TEST_REQUIRE(expired.size() == 1U);
    BOOST_TEST(expired[0].index == 1U);
    const std::vector<run_call> ready = dispatcher.takeReady(2);
    BOOST_TEST_REQUIRE(ready.size() == 1U);
    BOOST_TEST(std::get<start_run>(ready[0]).id.index == 2U);
    BOOST_TEST((dispatcher.nextDue() == mono_time::max()));
}

// Guards against a start that loses its turn because its connection was closed meanwhile.
BOOST_AUTO_TEST_CASE(aStartThatWasNotSentComesFirst)
{
    call_dispatcher dispatcher(StartLimit);
    dispatcher.add(start(2), Now);
    dispatcher.putBack(start(1), Now);
    const std::vector<run_call> ready = dispatcher.takeReady(1);
    BOOST_TEST_REQUIRE(ready.size() == 1U);
    BOOST_TEST(std::get<start_run>(ready[0]).id.index == 1U);
}

// Guards against a lease and an acknowledgement that the next instance of the endpoint takes for its own runs.
BOOST_AUTO_TEST_CASE(aListWithoutAConfirmedConnectionChangesNothing)
{
    call_dispatcher dispatcher(StartLimit);
    dispatcher.add(start(1), Now);
    dispatcher.add(renewal(), Now);
    const std::vector<run_call> ready = dispatcher.takeReady(1);
    BOOST_TEST_REQUIRE(ready.size() == 2U);
    const auto &list = std::get<list_runs>(ready[1]);
    BOOST_TEST(list.number == 7U);
    BOOST_TEST(!list.leaseEnd.has_value());
    BOOST_TEST(list.acknowledged == 0U);
    BOOST_TEST(list.wait.count() == 0);
    BOOST_TEST(!call_dispatcher::needsConfirmed(list));
}

// Guards against a lease that is never renewed.
BOOST_AUTO_TEST_CASE(aListOnAConfirmedConnectionRenewsTheLease)
{
    call_dispatcher dispatcher(StartLimit);
    dispatcher.add(renewal(), Now);
    const std::vector<run_call> ready = dispatcher.takeReady(1);
    BOOST_TEST_REQUIRE(ready.size() == 1U);
    const auto &list = std::get<list_runs>(ready[0]);
    BOOST_TEST(list.leaseEnd.has_value());
    BOOST_TEST(list.acknowledged == 3U);
    BOOST_TEST((list.wait == 50ms));
    BOOST_TEST(call_dispatcher::needsConfirmed(list));
}

// Guards against a stop that waits: it changes nothing in the next instance, and bounds how long a run goes on.
BOOST_AUTO_TEST_CASE(aStopIsSentAtOnce)
{
    call_dispatcher dispatcher(StartLimit);
    dispatcher.add(stop_run{.id = start(1).id}, Now);
    BOOST_TEST(dispatcher.takeReady(0).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
