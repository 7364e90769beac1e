#include "rpc/rpc_limits.h"
#include "rpc/test_agent.h"
#include "rpc/test_entry.h"
#include "rpc/wire.capnp.h"

#include <boost/test/unit_test.hpp>
#include <capnp/ez-rpc.h>
#include <kj/async-io.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

start_order orderOf(std::uint32_t index)
{
    return {task_id{ticket_id{11, 1}, index}, "lookup", "team-a", "payload", 10s, 0};
}

task_outcome lostInCrash()
{
    task_outcome lost{task_verdict::interrupted, reason::outcomeUnknown, "", 12ms};
    lost.endpointCrashed = true;
    return lost;
}

// Position of the first event of a type; the number of events if there is none.
template<typename T>
std::size_t firstOf(const std::vector<entry_event> &events)
{
    std::size_t index = 0;
    while (index < events.size() && !std::holds_alternative<T>(events[index])) {
        ++index;
    }
    return index;
}

// Session of an entry that does not know the report of a crash.
class older_session final : public wire::AgentSession::Server
{
public:
    explicit older_session(int &pings)
        : m_pings(pings)
    {
    }

    kj::Promise<void> ping(PingContext /*call*/) override
    {
        ++m_pings;
        return kj::READY_NOW;
    }

private:
    int &m_pings;
};

// Entry that does not know the report of a crash.
class older_gate final : public wire::EntryGate::Server
{
public:
    explicit older_gate(int &pings)
        : m_pings(pings)
    {
    }

    kj::Promise<void> registerAgent(RegisterAgentContext call) override
    {
        auto results = call.getResults();
        auto welcome = results.initWelcome();
        welcome.setAccepted(true);
        welcome.setVersion(ProtocolVersion);
        welcome.setLeaseMs(2000);
        welcome.initSelf().setId(11);
        results.setSession(kj::heap<older_session>(m_pings));
        return kj::READY_NOW;
    }

private:
    int &m_pings;
};

} // namespace

BOOST_AUTO_TEST_SUITE(crash_report_test)

// Guards against an entry that gets the lost starts first and places them at the crashed endpoint again.
BOOST_AUTO_TEST_CASE(arrivesBeforeTheAnswersOfTheLostStarts)
{
    for (int round = 0; round < 20; ++round) {
        test_entry entry(11);
        test_agent agent(22, {entry.rpc.address()});
        BOOST_REQUIRE(entry.events.waitFor<agent_joined>().has_value());
        std::vector<start_received> starts;
        for (std::uint32_t index = 0; index < 20; ++index) {
            BOOST_REQUIRE(entry.rpc.post(start_task{agent_id{22}, orderOf(index)}));
            const auto start = agent.events.waitFor<start_received>();
            BOOST_REQUIRE(start.has_value());
            starts.push_back(*start);
        }
        BOOST_REQUIRE(agent.rpc.post(report_crash{.suspects = {{.kind = "check", .isRepeated = true}, {.kind = "lookup"}}}));
        for (const start_received &start : starts) {
            BOOST_REQUIRE(agent.rpc.post(answer_start{start.call, start.order.id, lostInCrash(), 0}));
        }
        const auto finished = entry.events.waitFor<task_finished>();
        BOOST_REQUIRE(finished.has_value());
        BOOST_TEST(finished->outcome.endpointCrashed);
        const std::vector<entry_event> &seen = entry.events.seen();
        const std::size_t reported = firstOf<endpoint_crashed>(seen);
        BOOST_REQUIRE(reported < firstOf<task_finished>(seen));
        const auto &report = std::get<endpoint_crashed>(seen[reported]);
        BOOST_TEST(report.agent.value == 22U);
        BOOST_REQUIRE(report.suspects.size() == 2U);
        BOOST_TEST(report.suspects[0].kind == "check");
        BOOST_TEST(report.suspects[0].isRepeated);
        BOOST_TEST(report.suspects[1].kind == "lookup");
        BOOST_TEST(!report.suspects[1].isRepeated);
    }
}

// Guards against a report that is lost because the agent stops right after it.
BOOST_AUTO_TEST_CASE(isSentBeforeTheSessionEnds)
{
    for (int round = 0; round < 20; ++round) {
        test_entry entry(11);
        test_agent agent(22, {entry.rpc.address()});
        BOOST_REQUIRE(entry.events.waitFor<agent_joined>().has_value());
        BOOST_REQUIRE(agent.events.waitFor<entry_joined>().has_value());
        BOOST_REQUIRE(agent.rpc.post(report_crash{.suspects = {{.kind = "check"}}}));
        agent.stop();
        BOOST_REQUIRE(entry.events.waitFor<agent_lost>().has_value());
        BOOST_TEST(entry.events.count<endpoint_crashed>() == 1U);
    }
}

// Guards against an entry that places tasks at a crashed endpoint because the agent was not registered there when it crashed.
BOOST_AUTO_TEST_CASE(anEntryThatRegistersTheAgentLaterPlacesNothingThere)
{
    test_entry first(11);
    test_agent agent(22, {first.rpc.address()});
    BOOST_REQUIRE(first.events.waitFor<agent_joined>().has_value());
    BOOST_REQUIRE(agent.events.waitFor<entry_joined>().has_value());
    BOOST_REQUIRE(agent.rpc.post(report_crash{}));
    BOOST_REQUIRE(first.events.waitFor<endpoint_crashed>().has_value());
    test_entry second(12, {first.rpc.address()});
    const auto joined = second.events.waitFor<agent_joined>();
    BOOST_REQUIRE(joined.has_value());
    BOOST_TEST(joined->info.leaving);
}

// Guards against a report that fills the memory of the entry, and against a refused report that ends the session.
BOOST_AUTO_TEST_CASE(aReportAboveTheLimitsIsRefused)
{
    test_entry entry(11);
    test_agent agent(22, {entry.rpc.address()});
    BOOST_REQUIRE(entry.events.waitFor<agent_joined>().has_value());
    BOOST_REQUIRE(agent.events.waitFor<entry_joined>().has_value());
    std::vector<crash_suspect> suspects(MaxCrashSuspects, {.kind = "check"});
    BOOST_REQUIRE(agent.rpc.post(report_crash{.suspects = suspects}));
    const auto reported = entry.events.waitFor<endpoint_crashed>();
    BOOST_REQUIRE(reported.has_value());
    BOOST_TEST(reported->suspects.size() == MaxCrashSuspects);
    suspects.push_back({.kind = "check"});
    BOOST_REQUIRE(agent.rpc.post(report_crash{.suspects = suspects}));
    BOOST_REQUIRE(agent.rpc.post(report_crash{.suspects = {{.kind = std::string(MaxKindBytes + 1, 'x')}}}));
    BOOST_REQUIRE(agent.rpc.post(grant_credits{entry_id{11}, 3}));
    BOOST_REQUIRE(entry.events.waitFor<credits_granted>().has_value());
    entry.events.collect(50ms);
    BOOST_TEST(entry.events.count<endpoint_crashed>() == 1U);
    BOOST_TEST(entry.events.count<agent_lost>() == 0U);
}

// Guards against an agent that loses its session with an entry of an older build, which refuses the report.
BOOST_AUTO_TEST_CASE(anEntryThatDoesNotKnowTheReportKeepsItsSession)
{
    int pings = 0;
    capnp::EzRpcServer server(kj::heap<older_gate>(pings), "127.0.0.1:0");
    const unsigned port = server.getPort().wait(server.getWaitScope());
    test_agent agent(22, {"127.0.0.1:" + std::to_string(port)});
    const auto runUntilPings = [&server, &pings](int count) {
        const mono_time until = mono_clock::now() + 20s;
        while (pings < count && mono_clock::now() < until) {
            server.getIoProvider().getTimer().afterDelay(5 * kj::MILLISECONDS).wait(server.getWaitScope());
        }
        return pings >= count;
    };
    BOOST_REQUIRE(runUntilPings(1));
    BOOST_REQUIRE(agent.rpc.post(report_crash{.suspects = {{.kind = "check"}}}));
    BOOST_TEST(runUntilPings(pings + 2));
    agent.events.collect(10ms);
    BOOST_TEST(agent.events.count<entry_joined>() == 1U);
    BOOST_TEST(agent.events.count<entry_lost>() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
