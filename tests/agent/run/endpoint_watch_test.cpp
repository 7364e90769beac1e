#include "agent/run/endpoint_watch.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

endpoint_announcement heartbeat(std::chrono::milliseconds endpointStart, std::uint64_t sequence, bool isDraining = false)
{
    endpoint_announcement made;
    made.id = "i-1";
    made.endpointStart = endpointStart;
    made.service = "register";
    made.sequence = sequence;
    made.isDraining = isDraining;
    return made;
}

} // namespace

BOOST_AUTO_TEST_SUITE(endpoint_watch_test)

// Guards against a delayed heartbeat that restores an instance which has crashed since.
BOOST_AUTO_TEST_CASE(ignoresTheHeartbeatOfAnEarlierInstance)
{
    endpoint_watch watch("register");
    BOOST_TEST((watch.applyHeartbeat(heartbeat(100ms, 5)) == announcement_effect::adopt));
    BOOST_TEST((watch.applyHeartbeat(heartbeat(200ms, 1)) == announcement_effect::adopt));
    BOOST_TEST((watch.applyHeartbeat(heartbeat(100ms, 6)) == announcement_effect::unchanged));
    BOOST_TEST((watch.current()->endpointStart == 200ms));
}

// Guards against a late heartbeat with the state "ready" after the endpoint has announced that it drains.
BOOST_AUTO_TEST_CASE(ignoresAnOlderHeartbeatOfTheSameInstance)
{
    endpoint_watch watch("register");
    watch.applyHeartbeat(heartbeat(100ms, 5));
    BOOST_TEST((watch.applyHeartbeat(heartbeat(100ms, 7, true)) == announcement_effect::drain));
    BOOST_TEST((watch.applyHeartbeat(heartbeat(100ms, 6)) == announcement_effect::unchanged));
    BOOST_TEST(watch.current()->isDraining);
}

// Guards against an endpoint that stays unused after a short loss of contact.
BOOST_AUTO_TEST_CASE(adoptsALostEndpointAgain)
{
    endpoint_watch watch("register");
    watch.applyHeartbeat(heartbeat(100ms, 5));
    watch.markLost();
    BOOST_TEST((watch.applyHeartbeat(heartbeat(100ms, 6)) == announcement_effect::adopt));
}

// Guards against a heartbeat of another writer with a later start time that hides the heartbeats of the endpoint for good.
BOOST_AUTO_TEST_CASE(forgetsAnInstanceThatNeverAnswered)
{
    endpoint_watch watch("register");
    watch.applyHeartbeat(heartbeat(100ms, 5));
    watch.markConfirmed();
    endpoint_announcement other = heartbeat(9000ms, 1);
    other.id = "i-other";
    BOOST_TEST((watch.applyHeartbeat(other) == announcement_effect::adopt));
    BOOST_TEST((watch.applyHeartbeat(heartbeat(100ms, 6)) == announcement_effect::unchanged));
    watch.markLost();
    BOOST_TEST((watch.applyHeartbeat(heartbeat(100ms, 7)) == announcement_effect::adopt));
    BOOST_TEST((watch.applyHeartbeat(heartbeat(50ms, 9)) == announcement_effect::unchanged));
}

// Guards against a draining heartbeat of another writer with a later start time, which is not adopted but would make the heartbeats of the
// endpoint, its draining included, look like those of an earlier instance.
BOOST_AUTO_TEST_CASE(aDrainingInstanceThatIsNotServedHidesNothing)
{
    endpoint_watch watch("register");
    watch.applyHeartbeat(heartbeat(100ms, 5));
    watch.markConfirmed();
    endpoint_announcement other = heartbeat(9000ms, 1, true);
    other.id = "i-other";
    BOOST_TEST((watch.applyHeartbeat(other) == announcement_effect::unchanged));
    BOOST_TEST((watch.current()->endpointStart == 100ms));
    BOOST_TEST((watch.applyHeartbeat(heartbeat(100ms, 6, true)) == announcement_effect::drain));
}

// Guards against a delayed heartbeat that makes the agent serve an instance which has begun to drain before.
BOOST_AUTO_TEST_CASE(ignoresAnOlderHeartbeatOfADrainingInstance)
{
    endpoint_watch watch("register");
    BOOST_TEST((watch.applyHeartbeat(heartbeat(100ms, 5, true)) == announcement_effect::unchanged));
    BOOST_TEST((watch.applyHeartbeat(heartbeat(100ms, 4)) == announcement_effect::unchanged));
    BOOST_TEST((watch.applyHeartbeat(heartbeat(100ms, 6)) == announcement_effect::adopt));
}

// Guards against a confirmed instance that has crashed and returns by a delayed heartbeat of an earlier one.
BOOST_AUTO_TEST_CASE(keepsTheStartOfAConfirmedInstance)
{
    endpoint_watch watch("register");
    watch.applyHeartbeat(heartbeat(200ms, 1));
    watch.markConfirmed();
    watch.markLost();
    BOOST_TEST((watch.applyHeartbeat(heartbeat(100ms, 6)) == announcement_effect::unchanged));
    BOOST_TEST((watch.applyHeartbeat(heartbeat(200ms, 2)) == announcement_effect::adopt));
}

// Guards against a capacity that stays that of the first heartbeat, and against a delayed heartbeat that restores an earlier one.
BOOST_AUTO_TEST_CASE(followsTheCapacityOfTheInstance)
{
    const auto sized = [](std::uint64_t sequence, std::uint32_t cpuMillis) {
        endpoint_announcement made = heartbeat(100ms, sequence);
        made.capacity = {.cpuMillis = cpuMillis};
        return made;
    };
    endpoint_watch watch("register");
    BOOST_TEST((watch.applyHeartbeat(sized(1, 8000)) == announcement_effect::adopt));
    BOOST_TEST((watch.applyHeartbeat(sized(2, 6000)) == announcement_effect::resize)); // Before the instance has answered calls.
    BOOST_TEST(watch.current()->capacity.cpuMillis == 6000U);
    watch.markConfirmed();
    BOOST_TEST((watch.applyHeartbeat(sized(3, 6000)) == announcement_effect::unchanged));
    BOOST_TEST((watch.applyHeartbeat(sized(5, 3000)) == announcement_effect::resize));
    BOOST_TEST((watch.applyHeartbeat(sized(4, 6000)) == announcement_effect::unchanged));
    BOOST_TEST(watch.current()->capacity.cpuMillis == 3000U);
    BOOST_TEST((watch.applyHeartbeat(sized(6, 9000)) == announcement_effect::resize));
}

// Guards against a drain that goes unnoticed because the capacity changes with the same heartbeat.
BOOST_AUTO_TEST_CASE(aDrainComesBeforeAChangeOfTheCapacity)
{
    endpoint_watch watch("register");
    watch.applyHeartbeat(heartbeat(100ms, 1));
    endpoint_announcement both = heartbeat(100ms, 2, true);
    both.capacity = {.cpuMillis = 1000};
    BOOST_TEST((watch.applyHeartbeat(both) == announcement_effect::drain));
}

// Guards against heartbeats of another service.
BOOST_AUTO_TEST_CASE(ignoresOtherServices)
{
    endpoint_watch watch("other");
    BOOST_TEST((watch.applyHeartbeat(heartbeat(100ms, 5)) == announcement_effect::unchanged));
    BOOST_TEST(!watch.current().has_value());
}

BOOST_AUTO_TEST_SUITE_END()
