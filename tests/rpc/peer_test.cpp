#include "rpc/tcp_relay.h"
#include "rpc/test_agent.h"
#include "rpc/test_entry.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <utility>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

// Waits until the given number of different peers has joined an entry.
bool waitForPeers(test_entry &entry, std::size_t count)
{
    std::set<std::uint64_t> peers;
    while (peers.size() < count) {
        const auto joined = entry.events.waitFor<peer_joined>();
        if (!joined) {
            return false;
        }
        peers.insert(joined->info.id.value);
    }
    return true;
}

// Waits until an agent has registered at the given number of different entries.
bool waitForEntries(test_agent &agent, std::size_t count)
{
    std::set<std::uint64_t> entries;
    while (entries.size() < count) {
        const auto joined = agent.events.waitFor<entry_joined>();
        if (!joined) {
            return false;
        }
        entries.insert(joined->info.id.value);
    }
    return true;
}

} // namespace

BOOST_AUTO_TEST_SUITE(peer_test)

// Guards against an entry or an agent that finds only the entries in its settings, and against an agent that is not told of an
// entry that starts later.
BOOST_AUTO_TEST_CASE(learnsAllEntriesFromOne)
{
    test_entry first(11);
    test_agent early(22, {first.rpc.address()});
    BOOST_REQUIRE(first.events.waitFor<agent_joined>().has_value());
    test_entry second(12, {first.rpc.address()});
    test_entry third(13, {first.rpc.address()});
    BOOST_TEST(waitForPeers(first, 2));
    BOOST_TEST(waitForPeers(third, 2));
    BOOST_TEST(waitForPeers(second, 2));
    BOOST_TEST(waitForEntries(early, 3));
    test_agent late(23, {third.rpc.address()});
    BOOST_TEST(waitForEntries(late, 3));
}

// Guards against an agent that stays connected to all entries that it has ever known, and against one that drops all of them.
BOOST_AUTO_TEST_CASE(closesSessionsThatAreNotNeeded)
{
    test_entry first(11);
    std::vector<std::unique_ptr<test_entry>> others;
    for (std::uint64_t id = 12; id <= 16; ++id) {
        others.push_back(std::make_unique<test_entry>(id, std::vector<std::string>{first.rpc.address()}));
    }
    BOOST_REQUIRE(waitForPeers(first, 5));
    // An agent keeps its first session if that entry is the first in rank; of several agents, most do not.
    std::vector<std::unique_ptr<test_agent>> agents;
    for (std::uint64_t id = 31; id <= 36; ++id) {
        agent_rpc_settings settings = test_agent::makeSettings(id, {first.rpc.address()});
        settings.sessionTarget = 1;
        agents.push_back(std::make_unique<test_agent>(settings));
    }
    agents.front()->events.collect(9s);
    std::size_t closed = 0;
    for (const auto &agent : agents) {
        agent->events.collect(0ms);
        BOOST_TEST(agent->events.count<entry_joined>() == agent->events.count<entry_lost>() + 1);
        closed += agent->events.count<entry_lost>();
    }
    BOOST_TEST(closed > 0U);
}

// Guards against a peer that joins twice when two entries know each other's address and both connect.
BOOST_AUTO_TEST_CASE(joinsAPeerOnceAlthoughBothConnect)
{
    for (int round = 0; round < 10; ++round) {
        std::optional<test_entry> first;
        first.emplace(11);
        const std::string firstAddress = first->rpc.address();
        test_entry second(12, {firstAddress});
        const std::string secondAddress = second.rpc.address();
        first->stop();
        first.emplace(13, std::vector<std::string>{secondAddress}, firstAddress);
        BOOST_REQUIRE(first->events.waitFor<peer_joined>().has_value());
        first->events.collect(200ms);
        second.events.collect(0ms);
        BOOST_TEST(first->events.count<peer_joined>() == 1U);
        std::size_t joined = 0;
        for (const entry_event &event : second.events.seen()) {
            const auto *peer = std::get_if<peer_joined>(&event);
            joined += peer != nullptr && peer->info.id.value == 13U ? 1 : 0;
        }
        BOOST_TEST(joined == 1U);
    }
}

// Guards against an entry that becomes its own peer because its settings list its address.
BOOST_AUTO_TEST_CASE(doesNotJoinItself)
{
    std::string address;
    {
        const test_entry probe(10);
        address = probe.rpc.address();
    }
    test_entry entry(11, {address}, address);
    test_entry alias(12, {address});
    BOOST_REQUIRE(alias.events.waitFor<peer_joined>().has_value());
    entry.events.collect(500ms);
    BOOST_TEST(entry.events.count<peer_joined>() == 1U);
}

// Guards against an entry that becomes its own peer through an address that it does not recognize as its own.
BOOST_AUTO_TEST_CASE(doesNotJoinItselfUnderAnotherAddress)
{
    std::string address;
    {
        const test_entry probe(10);
        address = probe.rpc.address();
    }
    const tcp_relay relay(address);
    test_entry entry(11, {relay.address()}, address);
    test_entry other(12, {address});
    BOOST_REQUIRE(entry.events.waitFor<peer_joined>().has_value());
    entry.events.collect(1s);
    BOOST_TEST(entry.events.count<peer_joined>() == 1U);
    BOOST_TEST(entry.events.count<peer_lost>() == 0U);
}

// Guards against two sessions of an agent with one entry, under two addresses, that replace each other endlessly.
BOOST_AUTO_TEST_CASE(settlesOnOneSessionWithAnEntryOfTwoAddresses)
{
    test_entry entry(11);
    const tcp_relay relay(entry.rpc.address());
    test_agent agent(22, {entry.rpc.address(), relay.address()});
    BOOST_REQUIRE(entry.events.waitFor<agent_joined>().has_value());
    // The two sessions may replace each other a few times; they are stable once nothing changes for three seconds.
    std::size_t before = 0;
    std::size_t seen = entry.events.seen().size();
    for (int round = 0; round < 10 && before != seen; ++round) {
        entry.events.collect(3s);
        before = std::exchange(seen, entry.events.seen().size());
    }
    BOOST_TEST(before == seen);
    BOOST_TEST(entry.events.count<agent_joined>() == entry.events.count<agent_lost>() + 1);
}

// Guards against usage reports that do not reach every peer or mix up teams, on which the quotas are computed.
BOOST_AUTO_TEST_CASE(reportsTheUseOfQuotasToEveryPeer)
{
    test_entry first(11);
    test_entry second(12, {first.rpc.address()});
    test_entry third(13, {first.rpc.address()});
    BOOST_REQUIRE(waitForPeers(first, 2));
    BOOST_REQUIRE(waitForPeers(second, 2));
    BOOST_REQUIRE(waitForPeers(third, 2));
    BOOST_REQUIRE(first.rpc.post(report_usage{{{"team-a", 5, 7}, {"team-b", 0, 1}}}));
    for (test_entry *peer : {&second, &third}) {
        const auto reported = peer->events.waitFor<peer_reported>();
        BOOST_REQUIRE(reported.has_value());
        BOOST_TEST(reported->peer.value == 11U);
        BOOST_REQUIRE(reported->usage.size() == 2U);
        BOOST_TEST(reported->usage[0].team == "team-a");
        BOOST_TEST(reported->usage[0].inProgress == 5U);
        BOOST_TEST(reported->usage[0].wanted == 7U);
        BOOST_TEST(reported->usage[1].team == "team-b");
    }
}

// Guards against a restarted entry that is mistaken for its earlier incarnation at the same address.
BOOST_AUTO_TEST_CASE(distinguishesIncarnationsAtOneAddress)
{
    std::optional<test_entry> first;
    first.emplace(11);
    const std::string address = first->rpc.address();
    test_entry second(12, {address});
    BOOST_REQUIRE(second.events.waitFor<peer_joined>().has_value());
    first->stop();
    first.emplace(21, std::vector<std::string>{}, address);
    const auto joined = second.events.waitFor<peer_joined>();
    BOOST_REQUIRE(joined.has_value());
    BOOST_TEST(joined->info.id.value == 21U);
    BOOST_TEST(second.events.count<peer_lost>() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
