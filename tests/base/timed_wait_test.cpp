#include "base/bounded_ring.h"
#include "base/one_shot_timer.h"
#include "base/stop_signal.h"
#include "http/in_flight_counter.h"
#include "support/wall_clock_shift.h"

#include <boost/test/unit_test.hpp>

#include <chrono>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

constexpr auto Wait = 50ms;
constexpr auto Shift = 60s;
constexpr auto Limit = 20s; // Generous for a loaded machine, and far below the shift.

// Runs a wait while the time of day is set back. Returns its duration.
template<typename F>
mono_time::duration durationOf(F &&wait)
{
    const wall_clock_shift shift(Shift);
    const mono_time start = mono_clock::now();
    wait();
    return mono_clock::now() - start;
}

} // namespace

BOOST_AUTO_TEST_SUITE(timed_wait_test)

// Guards against a test that shows nothing, since the time of day of the waits is not shifted.
BOOST_AUTO_TEST_CASE(theTimeOfDayIsShifted)
{
    const auto before = std::chrono::system_clock::now();
    const wall_clock_shift shift(Shift);
    BOOST_TEST((std::chrono::system_clock::now() - before >= Shift));
}

// Guards against a wait for an event that lasts as much longer as the clock was set back.
BOOST_AUTO_TEST_CASE(aRingWaitsByTheSteadyClock)
{
    bounded_ring<int> ring(1);
    const auto waited = durationOf([&ring] {
        BOOST_TEST(!ring.popUntil(mono_clock::now() + Wait).has_value());
    });
    BOOST_TEST((waited >= Wait));
    BOOST_TEST((waited < Limit));
}

// Guards against timers of an idle process that fire late.
BOOST_AUTO_TEST_CASE(aTimerFiresByTheSteadyClock)
{
    bounded_ring<int> fired(1);
    const auto waited = durationOf([&fired] {
        one_shot_timer timer([&fired] {
            fired.tryPush(1);
        });
        BOOST_TEST(timer.arm(mono_clock::now() + Wait));
        BOOST_TEST(fired.popUntil(mono_clock::now() + Limit).has_value());
    });
    BOOST_TEST((waited >= Wait));
    BOOST_TEST((waited < Limit));
}

// Guards against a check of the clients' connections, a retry or a drain that comes late.
BOOST_AUTO_TEST_CASE(aStopSignalWaitsByTheSteadyClock)
{
    stop_signal signal;
    const auto waited = durationOf([&signal] {
        BOOST_TEST(!signal.waitFor(Wait));
    });
    BOOST_TEST((waited >= Wait));
    BOOST_TEST((waited < Limit));
    signal.notify();
    BOOST_TEST(signal.waitFor(Limit));
}

// Guards against a stop that waits longer than its bound.
BOOST_AUTO_TEST_CASE(aStoppingListenerWaitsByTheSteadyClock)
{
    in_flight_counter counter;
    counter.begin();
    const auto waited = durationOf([&counter] {
        counter.waitUntilZero(mono_clock::now() + Wait);
    });
    BOOST_TEST((waited >= Wait));
    BOOST_TEST((waited < Limit));
}

BOOST_AUTO_TEST_SUITE_END()
