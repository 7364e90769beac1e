#include "job/timer_queue.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(timer_queue_test)

// Guards against timers that fire early, out of order or after they were cancelled.
BOOST_AUTO_TEST_CASE(timersFireInOrderUnlessCancelled)
{
    const mono_time start{1h};
    timer_queue<int> timers;
    BOOST_TEST((timers.nextDue() == mono_time::max()));
    timers.schedule(start + 3s, 3);
    const auto second = timers.schedule(start + 2s, 2);
    timers.schedule(start + 1s, 1);
    BOOST_TEST(!timers.takeDue(start).has_value());
    BOOST_TEST((timers.nextDue() == start + 1s));
    BOOST_TEST(timers.takeDue(start + 5s).value() == 1);
    timers.cancel(second);
    BOOST_TEST(timers.takeDue(start + 5s).value() == 3);
    BOOST_TEST(!timers.takeDue(start + 5s).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
