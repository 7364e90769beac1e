#include "member/entry_directory.h"

#include <boost/test/unit_test.hpp>

#include <chrono>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

const mono_time Start = mono_time() + 1h;
const std::string First = "10.0.0.1:7000";
const std::string Second = "10.0.0.2:7000";

// Lets every attempt fail until a given time and counts the attempts.
int failUntil(entry_directory &directory, mono_time &now, mono_time end)
{
    int attempts = 0;
    for (; now < end; now += 100ms) {
        for (const std::string &address : directory.takeDue(now)) {
            ++attempts;
            directory.setLost(address, now);
        }
    }
    return attempts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(entry_directory_test)

// Guards against two simultaneous connection attempts to one address.
BOOST_AUTO_TEST_CASE(takesAnAddressOnceUntilItFails)
{
    entry_directory directory({}, Start);
    directory.configure(First, Start);
    BOOST_TEST(directory.takeDue(Start).size() == 1U);
    BOOST_TEST(directory.takeDue(Start + 1min).empty());
    directory.setLost(First, Start + 1min);
    BOOST_TEST(directory.takeDue(Start + 2min).size() == 1U);
}

// Guards against a configured entry that is given up, and against attempts without backoff.
BOOST_AUTO_TEST_CASE(retriesAConfiguredAddressForeverAtTheLimit)
{
    entry_directory directory({}, Start);
    directory.configure(First, Start);
    mono_time now = Start;
    failUntil(directory, now, Start + 24h);
    const int attempts = failUntil(directory, now, Start + 25h);
    BOOST_TEST(attempts >= 3600 / 2);
    BOOST_TEST(attempts <= 3600);
    BOOST_TEST(directory.size() == 1U);
}

// Guards against a directory that fills with the addresses of replaced VMs.
BOOST_AUTO_TEST_CASE(dropsALearnedAddressThatStaysUnreachable)
{
    entry_directory directory({}, Start);
    BOOST_TEST(directory.learn(First, Start));
    mono_time now = Start;
    failUntil(directory, now, Start + 9min);
    BOOST_TEST(directory.size() == 1U);
    // Peers that still report the address do not keep it.
    BOOST_TEST(directory.learn(First, now));
    failUntil(directory, now, Start + 11min);
    BOOST_TEST(directory.size() == 0U);
}

// Guards against a learned address that is dropped at once after a long session.
BOOST_AUTO_TEST_CASE(keepsALearnedAddressForAWhileAfterItsSession)
{
    entry_directory directory({}, Start);
    directory.learn(First, Start);
    BOOST_TEST(directory.takeDue(Start).size() == 1U);
    directory.setConnected(First, entry_id{1});
    BOOST_TEST(directory.connected().size() == 1U);
    directory.setLost(First, Start + 1h);
    BOOST_TEST(directory.connected().empty());
    BOOST_TEST(directory.takeDue(Start + 1h + 1min).size() == 1U);
}

// Guards against two addresses of one entry whose sessions keep replacing each other.
BOOST_AUTO_TEST_CASE(skipsAnotherAddressOfAConnectedEntry)
{
    entry_directory directory({}, Start);
    directory.configure(First, Start);
    directory.configure(Second, Start);
    BOOST_TEST(directory.takeDue(Start).size() == 2U);
    directory.setConnected(First, entry_id{1});
    directory.setConnected(Second, entry_id{1});
    directory.setLost(First, Start);
    BOOST_TEST(directory.takeDue(Start + 1min).empty());
    directory.setLost(Second, Start + 1min);
    BOOST_TEST(directory.takeDue(Start + 2min).size() == 2U);
}

// Guards against a process that connects to itself, and against a directory that a peer can fill without bound.
BOOST_AUTO_TEST_CASE(ignoresItsOwnAddressAndLimitsTheLearnedOnes)
{
    entry_directory_settings settings;
    settings.capacity = 10;
    entry_directory directory(settings, Start);
    directory.exclude(First);
    directory.configure(First, Start);
    BOOST_TEST(!directory.learn(First, Start));
    for (int port = 1; port <= 100; ++port) {
        directory.learn("10.0.0.3:" + std::to_string(port), Start);
    }
    BOOST_TEST(directory.size() == 10U);
}

// Guards against a forwarded request that waits for the backoff of an entry that has just returned.
BOOST_AUTO_TEST_CASE(connectsAtOnceWhenARequestWaits)
{
    entry_directory directory({}, Start);
    directory.configure(First, Start);
    mono_time now = Start;
    failUntil(directory, now, Start + 1min);
    now += 10s;
    for (const std::string &address : directory.takeDue(now)) {
        directory.setLost(address, now);
    }
    BOOST_TEST(directory.takeDue(now + 1ms).empty());
    directory.retryNow(First, now + 1ms);
    BOOST_TEST(directory.takeDue(now + 1ms).size() == 1U);
}

// Guards against a network outage after which one process opens connections to all peers at once.
BOOST_AUTO_TEST_CASE(staysWithinItsRetryBudget)
{
    entry_directory_settings settings;
    settings.retryBurst = 4;
    settings.retryInterval = 1s;
    entry_directory directory(settings, Start);
    for (int port = 1; port <= 100; ++port) {
        directory.configure("10.0.0.3:" + std::to_string(port), Start);
    }
    BOOST_TEST(directory.takeDue(Start).size() == 4U);
    BOOST_TEST(directory.takeDue(Start + 10ms).empty());
    BOOST_TEST(directory.takeDue(Start + 1s).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
