#include "proc/decision_loop.h"

#include <boost/test/unit_test.hpp>

#include <vector>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

/** Core whose next due time is set by the event. */
struct scripted_core {
    void handle(const mono_time &event, mono_time /*now*/, std::vector<int> &actions)
    {
        due = event;
        actions.push_back(1);
    }

    mono_time nextDue() const
    {
        return due;
    }

    mono_time due = mono_time::max();
};

/** Timer that records the times for which it was armed. */
struct recording_timer {
    bool arm(mono_time due)
    {
        armed.push_back(due);
        return true;
    }

    std::vector<mono_time> armed;
};

// Runs the loop over events that set the next due time.
std::vector<mono_time> armedBy(const std::vector<mono_time> &events)
{
    bounded_ring<mono_time> ring(64);
    for (const mono_time &event : events) {
        ring.push(event);
    }
    ring.close();
    scripted_core core;
    recording_timer timer;
    decision_loop<scripted_core, mono_time, int, recording_timer>(core, ring, timer, [](int & /*action*/) {
        return true;
    }).run();
    return timer.armed;
}

} // namespace

BOOST_AUTO_TEST_SUITE(decision_loop_test)

// Guards against an event that wakes the thread of the timer although the next due time has only moved to a later time.
BOOST_AUTO_TEST_CASE(armsTheTimerForEarlierTimesOnly)
{
    const mono_time now = mono_clock::now();
    BOOST_TEST((armedBy({now + 1h, now + 2h, now + 3h}) == std::vector<mono_time>{now + 1h}));
    BOOST_TEST((armedBy({now + 2h, now + 1h, now + 3h}) == std::vector<mono_time>{now + 2h, now + 1h}));
}

// Guards against a due time that has passed and is never armed again.
BOOST_AUTO_TEST_CASE(armsAgainAfterTheTimerHasFired)
{
    const mono_time now = mono_clock::now();
    BOOST_TEST((armedBy({now - 1h, now + 1h, now + 1h}) == std::vector<mono_time>{now - 1h, now + 1h}));
}

BOOST_AUTO_TEST_SUITE_END()
