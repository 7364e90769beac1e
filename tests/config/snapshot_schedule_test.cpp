#include "config/snapshot_schedule.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(snapshot_schedule_test)

// Guards against a snapshot that is due after retention has dropped the records it replaces, and against all readers publishing at once.
BOOST_AUTO_TEST_CASE(isDueAfterHalfOfTheRetentionAtDifferentTimes)
{
    const mono_time start{};
    int early = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        snapshot_schedule schedule(24h, seed);
        BOOST_TEST(!schedule.isDue(start + 100h));
        schedule.setOldestNeeded(5, true, start);
        BOOST_TEST(!schedule.isDue(start + 12h - 1ms));
        BOOST_TEST(schedule.isDue(start + 15h));
        early += schedule.isDue(start + 13h + 30min) ? 1 : 0;
        schedule.setOldestNeeded(9, true, start + 12h);
        BOOST_TEST(!schedule.isDue(start + 23h));
    }
    BOOST_TEST(early > 0);
    BOOST_TEST(early < 20);
}

// Guards against a missing snapshot if processes restart so often that none runs for half of the retention.
BOOST_AUTO_TEST_CASE(assumesThatRecordsReadAtStartAreOld)
{
    snapshot_schedule schedule(24h, 1);
    schedule.setOldestNeeded(5, false, {});
    BOOST_TEST(!schedule.isDue(mono_time{} + 90min - 1ms));
    BOOST_TEST(schedule.isDue(mono_time{} + 3h));
}

// Guards against the loss of records that the log drops because of their number, before their retention ends.
BOOST_AUTO_TEST_CASE(isDueSoonWhenTheLogDropsRecordsNearby)
{
    const mono_time start{};
    snapshot_schedule schedule(24h, 1);
    schedule.setOldestNeeded(100, true, start);
    schedule.setRetained(90, 1000, start);
    BOOST_TEST(!schedule.isDue(start + 1min));
    schedule.setRetained(95, 1010, start);
    BOOST_TEST(schedule.isDue(start + 5s));
    schedule.postpone(3h, start + 5s);
    BOOST_TEST(!schedule.isDue(start + 1min));
    schedule.setRetained(101, 1020, start + 1min);
    BOOST_TEST(schedule.isDue(start + 1min + 5s));
}

BOOST_AUTO_TEST_SUITE_END()
