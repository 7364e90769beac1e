#include "member/entry_directory.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

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

std::string addressOf(std::size_t entry)
{
    return "10.1." + std::to_string(entry / 100) + "." + std::to_string(entry % 100) + ":7000";
}

entry_id idOf(const std::string &address)
{
    return entry_id{std::hash<std::string>()(address)};
}

// Directory of one agent that keeps a limited number of sessions.
entry_directory subset(std::size_t agent, std::size_t target)
{
    entry_directory_settings settings;
    settings.seed = agent;
    settings.sessionTarget = target;
    settings.retryBurst = 1000;
    settings.reconnectLimit = 200ms;
    return entry_directory(settings, Start);
}

void learnAll(entry_directory &directory, std::size_t entries)
{
    for (std::size_t entry = 0; entry < entries; ++entry) {
        directory.learn(addressOf(entry), Start);
    }
}

// Lets every attempt succeed and returns the connected addresses.
std::vector<std::string> connectAll(entry_directory &directory, mono_time now)
{
    for (const std::string &address : directory.takeDue(now)) {
        directory.setConnected(address, idOf(address));
    }
    return directory.connected();
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

// Guards against sessions that grow with the number of entries: each agent keeps the same number of them, and each entry gets about the same
// number of agents.
BOOST_AUTO_TEST_CASE(sessionsStayFlatAsEntriesGrow)
{
    constexpr std::size_t target = 12;
    for (const std::size_t entries : {30U, 100U, 250U}) {
        const std::size_t agents = entries * 5;
        std::map<std::string, std::size_t> sessions;
        for (std::size_t agent = 1; agent <= agents; ++agent) {
            entry_directory directory = subset(agent, target);
            learnAll(directory, entries);
            const auto connected = connectAll(directory, Start);
            BOOST_TEST(connected.size() == target);
            for (const std::string &address : connected) {
                ++sessions[address];
            }
        }
        BOOST_TEST(sessions.size() == entries);
        for (const auto &[address, count] : sessions) {
            BOOST_TEST(count >= 5 * target / 2, address);
            BOOST_TEST(count <= 5 * target * 2, address);
        }
        entry_directory mesh = subset(1, 0);
        learnAll(mesh, entries);
        BOOST_TEST(connectAll(mesh, Start).size() == entries);
    }
}

// Guards against an agent that loses its entries one after the other and keeps too few, and against replacements that stay connected once
// the entries are back.
BOOST_AUTO_TEST_CASE(replacesUnreachableEntriesForAsLongAsNeeded)
{
    entry_directory directory = subset(7, 12);
    learnAll(directory, 30);
    const auto first = connectAll(directory, Start);
    for (std::size_t index = 0; index < 8; ++index) {
        directory.setLost(first[index], Start + 1s);
    }
    mono_time now = Start + 1s;
    for (; now < Start + 10s; now += 100ms) {
        for (const std::string &address : directory.takeDue(now)) {
            const bool isLost = std::find(first.begin(), first.begin() + 8, address) != first.begin() + 8;
            if (isLost) {
                directory.setLost(address, now);
            } else {
                directory.setConnected(address, idOf(address));
            }
        }
    }
    BOOST_TEST(directory.connected().size() == 12U);
    BOOST_TEST(directory.takeSurplus(now).empty());
    std::vector<std::string> surplus;
    for (; now < Start + 30s; now += 100ms) {
        connectAll(directory, now);
        for (const std::string &address : directory.takeSurplus(now)) {
            surplus.push_back(address);
            directory.setLost(address, now);
        }
    }
    BOOST_TEST(surplus.size() == 8U);
    auto last = directory.connected();
    auto wanted = first;
    std::ranges::sort(last);
    std::ranges::sort(wanted);
    BOOST_TEST(last == wanted, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()
