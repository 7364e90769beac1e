#include "base/bounded_ring.h"
#include "base/duty_thread.h"

#include <boost/test/unit_test.hpp>

#include <chrono>

using namespace teaselward;

BOOST_AUTO_TEST_SUITE(bounded_ring_test)

// Guards against a ring that grows without bound or overwrites items in a burst.
BOOST_AUTO_TEST_CASE(refusesItemsWhileFull)
{
    bounded_ring<int> ring(2);
    BOOST_TEST(ring.tryPush(1));
    BOOST_TEST(ring.tryPush(2));
    BOOST_TEST(!ring.tryPush(3));
    BOOST_TEST(ring.pop().value() == 1);
    BOOST_TEST(ring.tryPush(4));
    BOOST_TEST(ring.pop().value() == 2);
    BOOST_TEST(ring.pop().value() == 4);
}

// Guards against losing queued items when a process closes its rings during a graceful shutdown.
BOOST_AUTO_TEST_CASE(deliversItemsThatWereQueuedBeforeClose)
{
    bounded_ring<int> ring(4);
    BOOST_TEST(ring.tryPush(1));
    ring.close();
    BOOST_TEST(!ring.tryPush(2));
    BOOST_TEST(ring.pop().value() == 1);
    BOOST_TEST(!ring.pop().has_value());
    BOOST_TEST(ring.isFinished());
}

// Guards against lost wake-ups, after which a consumer or a producer would block forever.
BOOST_AUTO_TEST_CASE(passesEveryItemBetweenThreadsInOrder)
{
    constexpr int count = 10000;
    bounded_ring<int> ring(3);
    duty_thread producer("producer", [&ring] {
        for (int i = 0; i < count; ++i) {
            ring.push(i);
        }
        ring.close();
    });
    int expected = 0;
    while (const auto item = ring.pop()) {
        BOOST_REQUIRE(*item == expected);
        ++expected;
    }
    BOOST_TEST(expected == count);
}

// Guards against a wake-up for each item, which costs a system call, and against a consumer that is not woken again once it has emptied the
// ring.
BOOST_AUTO_TEST_CASE(wakesTheConsumerOncePerBatch)
{
    int wakes = 0;
    bounded_ring<int> ring(4);
    ring.setWaker([&wakes] {
        ++wakes;
    });
    ring.push(1);
    ring.tryPush(2);
    ring.push(3);
    BOOST_TEST(wakes == 1);
    while (ring.tryPop()) {
    }
    ring.tryPush(4);
    BOOST_TEST(wakes == 2);
    ring.close();
    BOOST_TEST(wakes == 3);
}

// Guards against a wait that does not end in time when no item arrives.
BOOST_AUTO_TEST_CASE(popUntilReturnsNothingAfterItsTimeout)
{
    bounded_ring<int> ring(1);
    BOOST_TEST(!ring.popUntil(mono_clock::now() + std::chrono::milliseconds(5)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
