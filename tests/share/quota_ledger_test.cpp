#include "share/quota_ledger.h"

#include <boost/test/unit_test.hpp>

#include <chrono>

using namespace teaselward;
using std::chrono::seconds;

namespace
{

/** This entry and two peers, with a team of quota 90. */
struct fixture {
    fixture()
    {
        rule_set rules;
        rules.teams["team"].quota = 90;
        ledger.setRules(rules);
        ledger.setEntryCount(3);
    }

    void report(std::uint64_t peer, std::uint32_t wanted)
    {
        ledger.setPeerUsage({peer}, {{"team", wanted, wanted}}, now);
    }

    quota_ledger ledger;
    mono_time now = mono_time(seconds(1));
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(quota_ledger_test, fixture)

// Guards against entries that together admit three times the quota while they have no reports.
BOOST_AUTO_TEST_CASE(withoutReportsTheShareIsEqual)
{
    BOOST_TEST(ledger.localQuota("team", now) == 30);
    BOOST_TEST(ledger.admits("team", 30, now));
    BOOST_TEST(!ledger.admits("team", 31, now));
}

// Guards against a quota that stays unused at entries without demand.
BOOST_AUTO_TEST_CASE(sharesFollowDemand)
{
    ledger.add("team", 30);
    BOOST_TEST(!ledger.admits("team", 30, now));
    ledger.takeUsage();
    report(2, 0);
    report(3, 20);
    BOOST_TEST(ledger.localQuota("team", now) == 64); // 0.1 * 30 + 0.9 * 90 * 60 / 80, rounded up
}

// Guards against shares that add up to more than the quota, apart from rounding, whatever the demand.
BOOST_AUTO_TEST_CASE(sharesAddUpToTheQuota)
{
    const std::uint32_t wanted[] = {70, 20, 10};
    std::uint32_t sum = 0;
    for (std::uint64_t self = 0; self < 3; ++self) {
        fixture entry;
        entry.ledger.add("team", wanted[self]);
        entry.ledger.takeUsage();
        entry.report(11, wanted[(self + 1) % 3]);
        entry.report(12, wanted[(self + 2) % 3]);
        sum += entry.ledger.localQuota("team", entry.now);
    }
    BOOST_TEST(sum >= 90);
    BOOST_TEST(sum <= 92);
}

// Guards against an entry that keeps a large share after the others became unreachable, since they may use theirs.
BOOST_AUTO_TEST_CASE(lostPeersRestoreTheEqualShare)
{
    ledger.add("team", 60);
    ledger.takeUsage();
    report(2, 0);
    report(3, 0);
    BOOST_TEST(ledger.localQuota("team", now) == 84);
    now += seconds(2);
    report(2, 0);
    now += seconds(2);
    BOOST_TEST(ledger.localQuota("team", now) == 57); // Entry 3 may use its 30; entry 2 has no demand for the other 60.
    now += seconds(2);
    BOOST_TEST(ledger.localQuota("team", now) == 30);
}

// Guards against tasks that still count after their end.
BOOST_AUTO_TEST_CASE(endedTasksAreFreed)
{
    ledger.add("team", 30);
    BOOST_TEST(!ledger.admits("team", 1, now));
    ledger.add("team", -1);
    BOOST_TEST(ledger.admits("team", 1, now));
}

BOOST_AUTO_TEST_SUITE_END()
