#include "rpc/tcp_relay.h"
#include "rpc/test_agent.h"
#include "rpc/test_entry.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <optional>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

start_order orderOf(std::uint32_t index)
{
    return {task_id{ticket_id{11, 1}, index}, "lookup", "team-a", "payload", 10s, 0};
}

// Positions of the first and the last event of a type.
template<typename T>
std::pair<std::size_t, std::size_t> positions(const std::vector<entry_event> &events)
{
    std::pair<std::size_t, std::size_t> found{events.size(), 0};
    for (std::size_t index = 0; index < events.size(); ++index) {
        if (std::holds_alternative<T>(events[index])) {
            found.first = std::min(found.first, index);
            found.second = index;
        }
    }
    return found;
}

} // namespace

BOOST_AUTO_TEST_SUITE(session_loss_test)

// Guards against a start that is not reported, or reported twice, when its agent stops, and against a loss that is reported before
// the starts, after which the core would place the tasks elsewhere without a revocation.
BOOST_AUTO_TEST_CASE(reportsEachUnansweredStartOnceBeforeTheLoss)
{
    test_entry entry(11);
    std::optional<test_agent> agent;
    agent.emplace(22, std::vector<std::string>{entry.rpc.address()});
    BOOST_REQUIRE(entry.events.waitFor<agent_joined>().has_value());
    for (std::uint32_t index = 0; index < 20; ++index) {
        BOOST_REQUIRE(entry.rpc.post(start_task{agent_id{22}, orderOf(index)}));
    }
    for (std::uint32_t index = 0; index < 20; ++index) {
        BOOST_REQUIRE(agent->events.waitFor<start_received>().has_value());
    }
    agent.reset();
    BOOST_REQUIRE(entry.events.waitFor<agent_lost>().has_value());
    entry.events.collect(300ms);
    BOOST_TEST(entry.events.count<start_unanswered>() == 20U);
    BOOST_TEST(entry.events.count<agent_lost>() == 1U);
    BOOST_TEST(positions<start_unanswered>(entry.events.seen()).second < positions<agent_lost>(entry.events.seen()).first);
}

// Guards against a start to an agent without a session that is not reported, or is reported as possibly started, so that the task
// could not be placed elsewhere.
BOOST_AUTO_TEST_CASE(answersAStartWithoutASessionAsNotStarted)
{
    test_entry entry(11);
    BOOST_REQUIRE(entry.rpc.post(start_task{agent_id{99}, orderOf(0)}));
    const auto finished = entry.events.waitFor<task_finished>();
    BOOST_REQUIRE(finished.has_value());
    BOOST_TEST((finished->outcome.verdict == task_verdict::notStarted));
    BOOST_REQUIRE(entry.rpc.post(fence_ticket{agent_id{99}, ticket_id{5, 6}}));
    const auto fenced = entry.events.waitFor<ticket_fenced>();
    BOOST_REQUIRE(fenced.has_value());
    BOOST_TEST(!fenced->answered);
}

// Guards against a silent network cut or a paused process that one side does not detect, and against a session that is not
// restored afterwards.
BOOST_AUTO_TEST_CASE(losesASilentSessionOnBothSidesAndRestoresIt)
{
    entry_rpc_settings entrySettings = test_entry::makeSettings(11);
    entrySettings.lease = 1s;
    entrySettings.heartbeat = 200ms;
    test_entry entry(entrySettings);
    tcp_relay relay(entry.rpc.address());
    agent_rpc_settings agentSettings = test_agent::makeSettings(22, {relay.address()});
    agentSettings.lease = 1s;
    agentSettings.heartbeat = 200ms;
    test_agent agent(agentSettings);
    BOOST_REQUIRE(entry.events.waitFor<agent_joined>().has_value());
    BOOST_REQUIRE(agent.events.waitFor<entry_joined>().has_value());
    BOOST_REQUIRE(entry.rpc.post(start_task{agent_id{22}, orderOf(0)}));
    BOOST_REQUIRE(agent.events.waitFor<start_received>().has_value());

    relay.freeze();
    BOOST_REQUIRE(entry.events.waitFor<agent_lost>().has_value());
    BOOST_REQUIRE(agent.events.waitFor<entry_lost>().has_value());
    BOOST_TEST(entry.events.count<start_unanswered>() == 1U);

    relay.resume();
    BOOST_REQUIRE(entry.events.waitFor<agent_joined>().has_value());
    BOOST_REQUIRE(agent.events.waitFor<entry_joined>().has_value());
    BOOST_TEST(entry.events.count<agent_lost>() == 1U);
    BOOST_TEST(agent.events.count<entry_lost>() == 1U);
}

// Guards against a confirmation that is dated when the answer of the entry is read. Bytes of the entry can wait unread for any time, and
// they do not show that it still keeps the session.
BOOST_AUTO_TEST_CASE(datesTheConfirmationOfASessionBeforeTheCall)
{
    test_entry entry(11);
    tcp_relay relay(entry.rpc.address());
    agent_rpc_settings settings = test_agent::makeSettings(22, {relay.address()});
    settings.lease = 10s;
    settings.heartbeat = 100ms;
    const mono_time created = mono_clock::now();
    test_agent agent(settings);
    const auto joined = agent.events.waitFor<entry_joined>();
    BOOST_REQUIRE(joined.has_value());
    BOOST_TEST((joined->confirmedAt >= created));
    BOOST_TEST((joined->confirmedAt <= mono_clock::now()));
    BOOST_REQUIRE(agent.events.waitFor<entry_confirmed>().has_value());
    relay.freeze();
    agent.events.collect(500ms);
    const std::size_t before = agent.events.count<entry_confirmed>();
    const mono_time frozen = mono_clock::now();
    agent.events.collect(600ms);
    BOOST_TEST(agent.events.count<entry_confirmed>() == before);
    relay.resume();
    const auto late = agent.events.waitFor<entry_confirmed>();
    BOOST_REQUIRE(late.has_value());
    BOOST_TEST((late->at < frozen));
    BOOST_TEST((late->entry == entry_id{11}));
}

// Guards against an idle session that is closed although both sides are alive.
BOOST_AUTO_TEST_CASE(keepsAnIdleSession)
{
    entry_rpc_settings entrySettings = test_entry::makeSettings(11);
    entrySettings.lease = 2s;
    entrySettings.heartbeat = 100ms;
    test_entry entry(entrySettings);
    agent_rpc_settings agentSettings = test_agent::makeSettings(22, {entry.rpc.address()});
    agentSettings.lease = 2s;
    agentSettings.heartbeat = 100ms;
    test_agent agent(agentSettings);
    BOOST_REQUIRE(entry.events.waitFor<agent_joined>().has_value());
    entry.events.collect(5s);
    agent.events.collect(0ms);
    BOOST_TEST(entry.events.count<agent_lost>() == 0U);
    BOOST_TEST(agent.events.count<entry_lost>() == 0U);
}

// Guards against an answer given after the loss of its session that is mistaken for the answer to another call.
BOOST_AUTO_TEST_CASE(dropsAnAnswerOfALostSession)
{
    test_entry entry(11);
    tcp_relay relay(entry.rpc.address());
    test_agent agent(22, {relay.address()});
    BOOST_REQUIRE(entry.events.waitFor<agent_joined>().has_value());
    BOOST_REQUIRE(entry.rpc.post(start_task{agent_id{22}, orderOf(0)}));
    const auto first = agent.events.waitFor<start_received>();
    BOOST_REQUIRE(first.has_value());
    relay.cut();
    BOOST_REQUIRE(entry.events.waitFor<agent_joined>().has_value());
    BOOST_REQUIRE(entry.rpc.post(start_task{agent_id{22}, orderOf(1)}));
    const auto second = agent.events.waitFor<start_received>();
    BOOST_REQUIRE(second.has_value());
    BOOST_TEST((second->call != first->call));
    BOOST_REQUIRE(agent.rpc.post(answer_start{first->call, first->order.id, {task_verdict::succeeded, reason::none, "late", 1us}, 1}));
    BOOST_REQUIRE(agent.rpc.post(answer_start{second->call, second->order.id, {task_verdict::succeeded, reason::none, "own", 1us}, 1}));
    const auto finished = entry.events.waitFor<task_finished>();
    BOOST_REQUIRE(finished.has_value());
    BOOST_TEST(finished->outcome.body == "own");
    BOOST_TEST(finished->id.index == 1U);
    entry.events.collect(200ms);
    BOOST_TEST(entry.events.count<task_finished>() == 1U);
}

// Guards against two sessions of one agent at the same time, and against events in an order in which the loss of the older session
// would end the newer one.
BOOST_AUTO_TEST_CASE(replacesTheOlderSessionOfAnAgent)
{
    test_entry entry(11);
    test_agent older(22, {entry.rpc.address()});
    BOOST_REQUIRE(entry.events.waitFor<agent_joined>().has_value());
    BOOST_REQUIRE(older.events.waitFor<entry_joined>().has_value());
    tcp_relay relay(entry.rpc.address());
    agent_rpc_settings settings = test_agent::makeSettings(22, {relay.address()});
    test_agent newer(settings);
    BOOST_REQUIRE(newer.events.waitFor<entry_joined>().has_value());
    BOOST_REQUIRE(older.events.waitFor<entry_lost>().has_value());
    older.stop();
    entry.events.collect(500ms);
    // The older process may have reconnected before it was stopped, so the number of changes varies, but not their order.
    bool isJoined = false;
    for (const entry_event &event : entry.events.seen()) {
        if (std::holds_alternative<agent_joined>(event)) {
            BOOST_TEST(!isJoined);
            isJoined = true;
        } else if (std::holds_alternative<agent_lost>(event)) {
            BOOST_TEST(isJoined);
            isJoined = false;
        }
    }
    BOOST_TEST(entry.events.count<agent_joined>() >= 2U);
}

// Guards against an agent that does not reconnect to an entry that was restarted at the same address.
BOOST_AUTO_TEST_CASE(reconnectsToARestartedEntry)
{
    std::optional<test_entry> entry;
    entry.emplace(11);
    const std::string address = entry->rpc.address();
    test_agent agent(22, {address});
    BOOST_REQUIRE(agent.events.waitFor<entry_joined>().has_value());
    entry.reset();
    BOOST_REQUIRE(agent.events.waitFor<entry_lost>().has_value());
    entry.emplace(12, std::vector<std::string>{}, address);
    const auto joined = agent.events.waitFor<entry_joined>();
    BOOST_REQUIRE(joined.has_value());
    BOOST_TEST(joined->info.id.value == 12U);
    BOOST_TEST(agent.events.count<entry_lost>() == 1U);
}

// Guards against a graceful stop that loses queued outcomes.
BOOST_AUTO_TEST_CASE(sendsQueuedOutcomesBeforeTheStop)
{
    test_entry entry(11);
    test_agent agent(22, {entry.rpc.address()});
    BOOST_REQUIRE(entry.events.waitFor<agent_joined>().has_value());
    for (std::uint32_t index = 0; index < 50; ++index) {
        BOOST_REQUIRE(entry.rpc.post(start_task{agent_id{22}, orderOf(index)}));
    }
    for (std::uint32_t index = 0; index < 50; ++index) {
        const auto start = agent.events.waitFor<start_received>();
        BOOST_REQUIRE(start.has_value());
        const task_outcome outcome{task_verdict::succeeded, reason::none, std::string(20000, 'x'), 1us};
        BOOST_REQUIRE(agent.rpc.post(answer_start{start->call, start->order.id, outcome, 1}));
    }
    agent.stop();
    BOOST_REQUIRE(entry.events.waitFor<agent_lost>().has_value());
    BOOST_TEST(entry.events.count<task_finished>() == 50U);
    BOOST_TEST(entry.events.count<start_unanswered>() == 0U);
}

// Guards against dropped events and lost sessions while the event ring is full because the decision thread is slow.
BOOST_AUTO_TEST_CASE(waitsWhileTheRingOfEventsIsFull)
{
    capturing_logger log;
    bounded_ring<agent_event> ring(2);
    test_entry entry(11);
    agent_rpc agent(test_agent::makeSettings(22, {entry.rpc.address()}), ring, log);
    BOOST_REQUIRE(entry.events.waitFor<agent_joined>().has_value());
    for (std::uint32_t index = 0; index < 200; ++index) {
        BOOST_REQUIRE(entry.rpc.post(start_task{agent_id{22}, orderOf(index)}));
    }
    event_reader<agent_event> events(ring);
    for (std::uint32_t index = 0; index < 200; ++index) {
        const auto start = events.waitFor<start_received>();
        BOOST_REQUIRE(start.has_value());
        BOOST_TEST(start->order.id.index == index);
    }
    ring.close();
    agent.stop();
}

BOOST_AUTO_TEST_SUITE_END()
