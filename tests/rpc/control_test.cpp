#include "rpc/test_agent.h"
#include "rpc/test_entry.h"

#include <boost/test/unit_test.hpp>

#include <chrono>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

// An entry and an agent with a session.
struct joined_pair {
    joined_pair()
        : entry(11)
        , agent(22, {entry.rpc.address()})
    {
        BOOST_REQUIRE(entry.events.waitFor<agent_joined>().has_value());
        BOOST_REQUIRE(agent.events.waitFor<entry_joined>().has_value());
    }

    test_entry entry;
    test_agent agent;
};

} // namespace

BOOST_AUTO_TEST_SUITE(control_test)

// Guards against a wrong state in the answer to a revocation, after which a task could run twice.
BOOST_FIXTURE_TEST_CASE(carriesARevocationAndEveryStateOfItsAnswer, joined_pair)
{
    const task_id id{ticket_id{11, 7}, 3};
    const std::vector<agent_task_status> answers = {
        {id, agent_task_state::notStarted, {}},
        {id, agent_task_state::running, {}},
        {id, agent_task_state::finished, {task_verdict::succeeded, reason::none, "result", 77us}},
    };
    for (const agent_task_status &held : answers) {
        BOOST_REQUIRE(entry.rpc.post(revoke_task{agent_id{22}, id, 0ms}));
        const auto revoke = agent.events.waitFor<revoke_received>();
        BOOST_REQUIRE(revoke.has_value());
        BOOST_TEST(revoke->from.value == 11U);
        BOOST_TEST((revoke->id == id));
        BOOST_REQUIRE(agent.rpc.post(answer_revoke{revoke->call, held}));
        const auto revoked = entry.events.waitFor<task_revoked>();
        BOOST_REQUIRE(revoked.has_value());
        BOOST_TEST(revoked->agent.value == 22U);
        BOOST_TEST((revoked->held.id == id));
        BOOST_TEST((revoked->held.state == held.state));
        BOOST_TEST(revoked->held.outcome.body == held.outcome.body);
        BOOST_TEST((revoked->held.outcome.runTime == held.outcome.runTime));
    }
}

// Guards against a delayed revocation that is sent at once or never.
BOOST_FIXTURE_TEST_CASE(sendsADelayedRevocationAfterItsDelay, joined_pair)
{
    const mono_time start = mono_clock::now();
    BOOST_REQUIRE(entry.rpc.post(revoke_task{agent_id{22}, task_id{}, 200ms}));
    BOOST_REQUIRE(agent.events.waitFor<revoke_received>().has_value());
    BOOST_TEST((mono_clock::now() - start >= 200ms));
}

// Guards against a fence answer that lacks a result, after which a completed task would be reported as unknown.
BOOST_FIXTURE_TEST_CASE(carriesAFenceAndTheHeldTasks, joined_pair)
{
    const ticket_id ticket{5, 6};
    BOOST_REQUIRE(entry.rpc.post(fence_ticket{agent_id{22}, ticket}));
    const auto fence = agent.events.waitFor<fence_received>();
    BOOST_REQUIRE(fence.has_value());
    BOOST_TEST(fence->from.value == 11U);
    BOOST_TEST((fence->ticket == ticket));
    std::vector<agent_task_status> held;
    for (std::uint32_t index = 0; index < 210; ++index) {
        held.push_back({task_id{ticket, index}, agent_task_state::finished, {task_verdict::succeeded, reason::none, std::to_string(index), 1us}});
    }
    BOOST_REQUIRE(agent.rpc.post(answer_fence{fence->call, held}));
    const auto fenced = entry.events.waitFor<ticket_fenced>();
    BOOST_REQUIRE(fenced.has_value());
    BOOST_TEST(fenced->answered);
    BOOST_TEST((fenced->ticket == ticket));
    BOOST_REQUIRE(fenced->held.size() == 210U);
    BOOST_TEST(fenced->held.back().outcome.body == "209");
    BOOST_TEST(fenced->held.back().id.index == 209U);
}

// Guards against credits that are lost, doubled or out of order, and against a demand that does not arrive.
BOOST_FIXTURE_TEST_CASE(carriesCreditsAndDemand, joined_pair)
{
    const std::vector<std::int32_t> deltas = {8, -3, 2};
    for (const std::int32_t delta : deltas) {
        BOOST_REQUIRE(agent.rpc.post(grant_credits{entry_id{11}, delta}));
    }
    for (const std::int32_t delta : deltas) {
        const auto granted = entry.events.waitFor<credits_granted>();
        BOOST_REQUIRE(granted.has_value());
        BOOST_TEST(granted->agent.value == 22U);
        BOOST_TEST(granted->delta == delta);
    }
    BOOST_REQUIRE(entry.rpc.post(send_demand{agent_id{22}, 1234}));
    const auto demand = agent.events.waitFor<demand_received>();
    BOOST_REQUIRE(demand.has_value());
    BOOST_TEST(demand->from.value == 11U);
    BOOST_TEST(demand->queued == 1234U);
}

// Guards against a result above the message size limit that ends the session, and with it the other tasks of the agent.
BOOST_FIXTURE_TEST_CASE(refusesAPayloadOrAResultAboveTheMessageLimit, joined_pair)
{
    start_order order{task_id{ticket_id{11, 1}, 0}, "lookup", "team-a", std::string(17U << 20U, 'x'), 10s, 0};
    BOOST_REQUIRE(entry.rpc.post(start_task{agent_id{22}, order}));
    const auto refused = entry.events.waitFor<task_finished>();
    BOOST_REQUIRE(refused.has_value());
    BOOST_TEST((refused->outcome.verdict == task_verdict::unknown));
    BOOST_TEST((refused->outcome.why == reason::tooLarge));

    order.payload.resize(14U << 20U);
    BOOST_REQUIRE(entry.rpc.post(start_task{agent_id{22}, order}));
    const auto start = agent.events.waitFor<start_received>();
    BOOST_REQUIRE(start.has_value());
    BOOST_TEST(start->order.payload.size() == 14U << 20U);
    const task_outcome outcome{task_verdict::succeeded, reason::none, std::string(17U << 20U, 'x'), 1us};
    BOOST_REQUIRE(agent.rpc.post(answer_start{start->call, order.id, outcome, 1}));
    const auto finished = entry.events.waitFor<task_finished>();
    BOOST_REQUIRE(finished.has_value());
    BOOST_TEST((finished->outcome.verdict == task_verdict::failed));
    BOOST_TEST((finished->outcome.why == reason::tooLarge));
    BOOST_TEST(finished->credits == 1);
    BOOST_TEST(entry.events.count<agent_lost>() == 0U);
}

// Guards against a start that is sent after its process was paused with the start in the ring: its caller may have left meanwhile.
BOOST_FIXTURE_TEST_CASE(returnsAStartThatHasExpiredInTheRing, joined_pair)
{
    const start_order order{task_id{ticket_id{11, 1}, 0}, "lookup", "team-a", "payload", 10s, 0};
    BOOST_REQUIRE(entry.rpc.post(start_task{.agent = agent_id{22}, .order = order, .expiresAt = mono_clock::now() - 1ms}));
    const auto returned = entry.events.waitFor<task_finished>();
    BOOST_REQUIRE(returned.has_value());
    BOOST_TEST((returned->outcome.verdict == task_verdict::notStarted));
    BOOST_TEST(returned->credits == 1);
    BOOST_REQUIRE(entry.rpc.post(start_task{.agent = agent_id{22}, .order = order, .expiresAt = mono_clock::now() + 1h}));
    BOOST_REQUIRE(agent.events.waitFor<start_received>().has_value());
    BOOST_TEST(agent.events.count<start_received>() == 1U);
}

// Guards against an entry that still sends tasks to a leaving agent, also if the agent registers there after it began to leave.
BOOST_AUTO_TEST_CASE(announcesLeavingToEveryEntry)
{
    test_entry first(11);
    test_entry second(12);
    test_agent agent(22, {first.rpc.address(), second.rpc.address()});
    BOOST_REQUIRE(first.events.waitFor<agent_joined>().has_value());
    BOOST_REQUIRE(second.events.waitFor<agent_joined>().has_value());
    BOOST_REQUIRE(agent.events.waitFor<entry_joined>().has_value());
    BOOST_REQUIRE(agent.events.waitFor<entry_joined>().has_value());
    BOOST_REQUIRE(agent.rpc.post(announce_leaving{}));
    BOOST_REQUIRE(first.events.waitFor<agent_leaving>().has_value());
    BOOST_REQUIRE(second.events.waitFor<agent_leaving>().has_value());
    const std::string address = second.rpc.address();
    second.stop();
    test_entry third(13, {first.rpc.address()});
    const auto joined = third.events.waitFor<agent_joined>();
    BOOST_REQUIRE(joined.has_value());
    BOOST_TEST(joined->info.leaving);
}

BOOST_AUTO_TEST_SUITE_END()
