#include "rpc/raw_peer.h"
#include "rpc/test_agent.h"
#include "rpc/test_entry.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <random>
#include <string>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

std::string randomBytes(std::mt19937_64 &random, std::size_t size)
{
    std::string bytes(size, '\0');
    for (char &byte : bytes) {
        byte = static_cast<char>(random());
    }
    return bytes;
}

// Frame with a header that announces one segment of the given number of words.
std::string frame(std::uint32_t words, const std::string &content)
{
    std::string bytes(8, '\0');
    for (int index = 0; index < 4; ++index) {
        bytes[4 + index] = static_cast<char>(words >> (8 * index));
    }
    return bytes + content;
}

// Checks that a session still works: sends a start and its answer.
void requireWorkingSession(test_entry &entry, test_agent &agent, std::uint32_t index)
{
    const start_order order{task_id{ticket_id{11, 1}, index}, "lookup", "team-a", "payload", 10s, 0};
    BOOST_REQUIRE(entry.rpc.post(start_task{agent_id{22}, order}));
    const auto start = agent.events.waitFor<start_received>();
    BOOST_REQUIRE(start.has_value());
    BOOST_REQUIRE(agent.rpc.post(answer_start{start->call, order.id, {}, 0}));
    BOOST_REQUIRE(entry.events.waitFor<task_finished>().has_value());
}

} // namespace

BOOST_AUTO_TEST_SUITE(garbage_test)

// Guards against random bytes of a peer that end the process, another session or the listener.
BOOST_AUTO_TEST_CASE(survivesRandomBytes)
{
    const std::uint64_t seed = std::random_device()();
    BOOST_TEST_MESSAGE("seed=" << seed);
    BOOST_TEST_INFO("seed=" << seed);
    std::mt19937_64 random(seed);
    test_entry entry(11);
    test_agent agent(22, {entry.rpc.address()});
    BOOST_REQUIRE(entry.events.waitFor<agent_joined>().has_value());
    for (std::uint32_t round = 0; round < 200; ++round) {
        BOOST_TEST_CONTEXT("seed=" << seed << " round=" << round)
        {
            raw_peer peer(entry.rpc.address());
            const std::size_t size = 8 * (1 + random() % 512);
            // In half of the rounds the frame is valid, so that the bytes reach the message reader.
            const bool isFramed = random() % 2 == 0;
            const std::string bytes = randomBytes(random, size);
            peer.send(isFramed ? frame(static_cast<std::uint32_t>(size / 8), bytes) : bytes);
            if (round % 20 == 0) {
                requireWorkingSession(entry, agent, round);
            }
        }
    }
    requireWorkingSession(entry, agent, 1000);
    BOOST_TEST(entry.events.count<agent_lost>() == 0U);
    BOOST_TEST(entry.events.count<agent_joined>() == 1U);
}

// Guards against corrupted messages: random bytes of valid bootstrap messages are changed.
BOOST_AUTO_TEST_CASE(survivesDamagedMessages)
{
    const std::uint64_t seed = std::random_device()();
    BOOST_TEST_MESSAGE("seed=" << seed);
    std::mt19937_64 random(seed);
    test_entry entry(11);
    test_agent agent(22, {entry.rpc.address()});
    BOOST_REQUIRE(entry.events.waitFor<agent_joined>().has_value());
    // A bootstrap message as the library sends it: one segment with the union tag 8 and a question number.
    std::string bootstrap = frame(3, std::string("\0\0\0\0\0\0\1\0\10\0\0\0\0\0\0\0\0\0\0\0\1\0\1\0", 24));
    for (std::uint32_t round = 0; round < 200; ++round) {
        std::string bytes = bootstrap + bootstrap;
        for (std::uint64_t change = 0; change < 1 + random() % 4; ++change) {
            bytes[8 + random() % (bytes.size() - 8)] = static_cast<char>(random());
        }
        raw_peer peer(entry.rpc.address());
        peer.send(bytes);
    }
    BOOST_TEST_CONTEXT("seed=" << seed)
    {
        requireWorkingSession(entry, agent, 0);
    }
    BOOST_TEST(entry.events.count<agent_lost>() == 0U);
}

// Guards against an incomplete message that keeps its connection open forever.
BOOST_AUTO_TEST_CASE(closesAConnectionWithHalfAMessage)
{
    entry_rpc_settings settings = test_entry::makeSettings(11);
    settings.lease = 500ms;
    test_entry entry(settings);
    raw_peer peer(entry.rpc.address());
    peer.send(frame(100, std::string(80, '\0')));
    BOOST_TEST(peer.isClosedByPeer());
}

// Guards against a connection that stays open without a complete first message, whether it is silent or sends a few bytes at a time.
BOOST_AUTO_TEST_CASE(closesAConnectionWithoutAFirstMessage)
{
    entry_rpc_settings settings = test_entry::makeSettings(11);
    settings.lease = 500ms;
    test_entry entry(settings);
    raw_peer silentPeer(entry.rpc.address());
    raw_peer slowSender(entry.rpc.address());
    slowSender.send(frame(1000, ""));
    for (int step = 0; step < 30; ++step) {
        slowSender.send("x");
        entry.events.collect(50ms);
    }
    BOOST_TEST(slowSender.isClosedByPeer());
    BOOST_TEST(silentPeer.isClosedByPeer());
}

// Guards against a header that makes the process allocate gigabytes before the content has arrived.
BOOST_AUTO_TEST_CASE(refusesAMessageAboveTheLimitByItsHeader)
{
    entry_rpc_settings settings = test_entry::makeSettings(11);
    settings.lease = 10min;
    test_entry entry(settings);
    raw_peer peer(entry.rpc.address());
    peer.send(frame(0x10000000, std::string(64, '\0')));
    BOOST_TEST(peer.isClosedByPeer());
}

BOOST_AUTO_TEST_SUITE_END()
