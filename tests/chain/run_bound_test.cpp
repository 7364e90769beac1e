#include "agent/run/supervisor_settings.h"
#include "job/entry_core_settings.h"
#include "proc/entry_component_settings.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(run_bound_test)

// Guards against a home that places a task of a lost agent elsewhere while the first run still has a lease, if the agent learns of the
// loss only by the lease of its session and none of its stops is answered.
BOOST_AUTO_TEST_CASE(aHomeWaitsForTheLongestRunOfALostAgent)
{
    constexpr auto sessionLease = 650ms; // On the users' platform, with the interval of its check.
    constexpr double slowClock = 1.02;
    const supervisor_settings supervisor;
    const auto longest = sessionLease + supervisor.stopBound + std::chrono::ceil<std::chrono::milliseconds>(slowClock * supervisor.lease);
    BOOST_TEST((supervisor.homeLease <= sessionLease));
    BOOST_TEST((entry_core_settings{}.lostRunTimeout > longest));
}

// Guards against a home that waits for a shorter time than the lease that the settings give to its sessions.
BOOST_AUTO_TEST_CASE(theWaitOfAHomeFollowsTheLeaseOfItsSessions)
{
    entry_settings settings;
    for (const auto lease : {600ms, 700ms, 2000ms}) {
        settings.lease = lease;
        const supervisor_settings supervisor;
        const auto longest = lease + supervisor.stopBound + std::chrono::ceil<std::chrono::milliseconds>(1.02 * supervisor.lease);
        BOOST_TEST((entryCoreSettings(settings, {}).lostRunTimeout > longest));
    }
}

BOOST_AUTO_TEST_SUITE_END()
