#include "rpc/raw_peer.h"
#include "rpc/rpc_limits.h"
#include "rpc/test_agent.h"
#include "rpc/test_entry.h"
#include "rpc/wire.capnp.h"

#include <boost/test/unit_test.hpp>
#include <capnp/ez-rpc.h>
#include <kj/async-io.h>

#include <unistd.h>

#include <chrono>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t OtherVersion = ProtocolVersion + 1;

// Entry of another protocol version, which refuses every first message.
class other_gate final : public wire::EntryGate::Server
{
public:
    kj::Promise<void> registerAgent(RegisterAgentContext call) override
    {
        call.getResults().initWelcome().setVersion(OtherVersion);
        return kj::READY_NOW;
    }

    kj::Promise<void> greet(GreetContext call) override
    {
        call.getResults().initWelcome().setVersion(OtherVersion);
        return kj::READY_NOW;
    }
};

// Waits until a line of a log contains a text. The time limit of 20 s is generous, because only a failing test reaches it.
bool waitForLine(const capturing_logger &log, const std::string &text)
{
    const mono_time until = mono_clock::now() + 20s;
    while (!log.contains(text) && mono_clock::now() < until) {
        ::usleep(5000);
    }
    return log.contains(text);
}

// Runs an entry of another version on the calling thread until a condition holds.
template<typename F>
bool runOtherEntry(capnp::EzRpcServer &server, F &&isDone)
{
    const mono_time until = mono_clock::now() + 20s;
    while (!isDone() && mono_clock::now() < until) {
        server.getIoProvider().getTimer().afterDelay(5 * kj::MILLISECONDS).wait(server.getWaitScope());
    }
    return isDone();
}

} // namespace

BOOST_AUTO_TEST_SUITE(version_test)

// Guards against an agent of another protocol version whose messages are read as if they were of this version.
BOOST_AUTO_TEST_CASE(refusesAnAgentOfAnotherVersion)
{
    test_entry entry(11);
    capnp::EzRpcClient client(entry.rpc.address());
    auto request = client.getMain<wire::EntryGate>().registerAgentRequest();
    request.setVersion(OtherVersion);
    request.initInfo().setId(22);
    auto promise = request.send();
    auto response = promise.wait(client.getWaitScope());
    BOOST_TEST(!response.getWelcome().getAccepted());
    BOOST_TEST(response.getWelcome().getVersion() == ProtocolVersion);
    BOOST_TEST(!response.hasSession());
    BOOST_TEST(waitForLine(entry.log, "version_mismatch"));
    // The entry closes the connection, after which no call gets an answer.
    BOOST_TEST(waitForLine(entry.log, "why=version mismatch"));
    auto next = client.getMain<wire::EntryGate>().registerAgentRequest().send();
    BOOST_CHECK_THROW(next.wait(client.getWaitScope()), kj::Exception);
    entry.events.collect(100ms);
    BOOST_TEST(entry.events.seen().empty());
}

// Guards against an entry of another protocol version that joins as a peer.
BOOST_AUTO_TEST_CASE(refusesAnEntryOfAnotherVersion)
{
    test_entry entry(11);
    capnp::EzRpcClient client(entry.rpc.address());
    auto request = client.getMain<wire::EntryGate>().greetRequest();
    request.setVersion(OtherVersion);
    request.initInfo().setId(12);
    auto response = request.send().wait(client.getWaitScope());
    BOOST_TEST(!response.getWelcome().getAccepted());
    BOOST_TEST(waitForLine(entry.log, "version_mismatch"));
    entry.events.collect(100ms);
    BOOST_TEST(entry.events.seen().empty());
}

// Guards against an agent or an entry that uses an entry of another protocol version, or does not log why it leaves it.
BOOST_AUTO_TEST_CASE(leavesAnEntryOfAnotherVersion)
{
    capnp::EzRpcServer server(kj::heap<other_gate>(), "127.0.0.1:0");
    const unsigned port = server.getPort().wait(server.getWaitScope());
    const std::string address = "127.0.0.1:" + std::to_string(port);
    test_agent agent(22, {address});
    test_entry entry(11, {address});
    BOOST_TEST(runOtherEntry(server, [&agent, &entry] {
        return agent.log.contains("version_mismatch") && entry.log.contains("version_mismatch");
    }));
    agent.events.collect(50ms);
    entry.events.collect(50ms);
    BOOST_TEST(agent.events.seen().empty());
    BOOST_TEST(entry.events.seen().empty());
}

// Guards against a second registration on one connection, after which the loss of the first session would never be reported.
BOOST_AUTO_TEST_CASE(refusesASecondFirstMessage)
{
    test_entry entry(11);
    capnp::EzRpcClient client(entry.rpc.address());
    auto gate = client.getMain<wire::EntryGate>();
    auto first = gate.registerAgentRequest();
    first.setVersion(ProtocolVersion);
    first.initInfo().setId(22);
    BOOST_TEST(first.send().wait(client.getWaitScope()).getWelcome().getAccepted());
    auto second = gate.registerAgentRequest();
    second.setVersion(ProtocolVersion);
    second.initInfo().setId(23);
    auto promise = second.send();
    BOOST_CHECK_THROW(promise.wait(client.getWaitScope()), kj::Exception);
    entry.events.collect(100ms);
    BOOST_TEST(entry.events.count<agent_joined>() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
