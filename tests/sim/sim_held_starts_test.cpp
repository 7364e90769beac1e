#include "sim/sim_held_starts.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>

using namespace teaselward;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(sim_held_starts_test)

// Guards against a held start that runs twice, runs after it was revoked, or waits past its deadline.
BOOST_AUTO_TEST_CASE(eachStartIsTakenOnce)
{
    const mono_time start{};
    sim_held_starts<std::string> held;
    BOOST_TEST((held.nextDue() == mono_time::max()));
    held.add({1}, {{1, 1}, 0}, "first", start + milliseconds(10));
    held.add({2}, {{1, 2}, 0}, "second", start + milliseconds(20));
    held.add({1}, {{1, 3}, 0}, "third", start + milliseconds(30));
    BOOST_TEST((held.nextDue() == start + milliseconds(10)));
    BOOST_TEST(held.takeOldest({1}).value() == "first");
    BOOST_TEST(!held.takeExpired(start + milliseconds(10)));
    BOOST_TEST(held.take({{1, 3}, 0}).value() == "third");
    BOOST_TEST(!held.take({{1, 3}, 0}));
    BOOST_TEST(!held.takeOldest({1}));
    BOOST_TEST(held.takeExpired(start + milliseconds(20)).value() == "second");
    BOOST_TEST(held.size() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
