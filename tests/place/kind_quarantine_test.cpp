#include "place/kind_quarantine.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

struct quarantine_fixture {
    // Records successes of the kind, one every 10 ms. Returns whether one of them released it.
    bool succeed(int tasks)
    {
        bool released = false;
        for (int i = 0; i < tasks; ++i) {
            now += 10ms;
            quarantine.recordSuccess("check");
            released = !quarantine.release(now).empty() || released;
        }
        return released;
    }

    bool crash(bool isRepeated)
    {
        return !quarantine.recordCrash({{.kind = "check", .isRepeated = isRepeated}}, now).empty();
    }

    kind_quarantine quarantine;
    mono_time now{1h};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(kind_quarantine_test, quarantine_fixture)

// Guards against the quarantine of a kind whose tasks were merely running when an endpoint crashed.
BOOST_AUTO_TEST_CASE(aSingleCrashQuarantinesNoKind)
{
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST(!crash(false));
    }
    BOOST_TEST(quarantine.isEmpty());
    BOOST_TEST(crash(true));
    BOOST_TEST(quarantine.contains("check"));
    BOOST_TEST(!quarantine.contains("order"));
    BOOST_TEST(!crash(true));
}

// Guards against a second kind that is quarantined because its tasks were lost together with those of the first.
BOOST_AUTO_TEST_CASE(aQuarantinedKindExplainsACrash)
{
    crash(true);
    BOOST_TEST(quarantine.recordCrash({{.kind = "check", .isRepeated = false}, {.kind = "order", .isRepeated = true}}, now).empty());
    BOOST_TEST(!quarantine.contains("order"));
    BOOST_TEST(quarantine.recordCrash({{.kind = "order", .isRepeated = true}}, now).size() == 1U);
}

// Guards against a release while all isolated endpoints are away, or after a few healthy tasks.
BOOST_AUTO_TEST_CASE(releasesAfterSuccessesWithoutACrash)
{
    crash(true);
    BOOST_TEST(!succeed(63));
    crash(false);
    BOOST_TEST(!succeed(150));
    BOOST_TEST(quarantine.contains("check"));
    BOOST_TEST(succeed(150));
    BOOST_TEST(quarantine.isEmpty());
    BOOST_TEST(!succeed(1));
}

// Guards against a kind that alternates between quarantine and release while its jobs still crash endpoints.
BOOST_AUTO_TEST_CASE(aRelapseNeedsMoreSuccesses)
{
    crash(true);
    BOOST_TEST(succeed(300));
    crash(true);
    now += 3s;
    BOOST_TEST(!succeed(127));
    BOOST_TEST(succeed(1));
    now += 1min;
    crash(true);
    now += 3s;
    BOOST_TEST(succeed(64));
}

// Guards against endpoints that stay isolated at an entry that receives few or no jobs of the kind.
BOOST_AUTO_TEST_CASE(expiresWithoutCrashesAndTasks)
{
    crash(true);
    now += 4s;
    crash(false);
    now += 4999ms;
    BOOST_TEST(quarantine.release(now).empty());
    now += 1ms;
    BOOST_TEST(quarantine.release(now).size() == 1U);
    BOOST_TEST(quarantine.isEmpty());
    BOOST_TEST(quarantine.release(now).empty());
    crash(true);
    now += 9s;
    BOOST_TEST(quarantine.release(now).empty());
    now += 1s;
    BOOST_TEST(quarantine.release(now).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
