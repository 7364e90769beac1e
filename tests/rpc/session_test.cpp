#include "rpc/test_agent.h"
#include "rpc/test_entry.h"

#include <boost/test/unit_test.hpp>

#include <chrono>

using namespace teaselward;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(session_test)

// Guards against a start, an outcome or an announcement that loses a field on its way.
BOOST_AUTO_TEST_CASE(carriesAStartAndItsOutcome)
{
    test_entry entry(11);
    test_agent agent(22, {entry.rpc.address()});
    const auto joined = entry.events.waitFor<agent_joined>();
    BOOST_REQUIRE(joined.has_value());
    BOOST_TEST(joined->info.id.value == 22U);
    BOOST_TEST(joined->info.address == "127.0.0.1:9");
    BOOST_TEST(joined->info.slots == 8U);
    BOOST_TEST(joined->info.connections == 64U);
    BOOST_TEST(joined->info.kinds.size() == 2U);
    BOOST_TEST(joined->credits == 0U);
    BOOST_TEST(joined->lease.count() == 2000);
    const auto registered = agent.events.waitFor<entry_joined>();
    BOOST_REQUIRE(registered.has_value());
    BOOST_TEST(registered->info.id.value == 11U);
    BOOST_TEST(registered->info.address == entry.rpc.address());

    start_order order{task_id{ticket_id{11, 7}, 3}, "lookup", "team-a", std::string("pay\0load", 8), 1500ms, 42};
    BOOST_REQUIRE(entry.rpc.post(start_task{agent_id{22}, order}));
    const auto start = agent.events.waitFor<start_received>();
    BOOST_REQUIRE(start.has_value());
    BOOST_TEST(start->from.value == 11U);
    BOOST_TEST((start->order.id == order.id));
    BOOST_TEST(start->order.kind == "lookup");
    BOOST_TEST(start->order.team == "team-a");
    BOOST_TEST(start->order.payload == order.payload);
    BOOST_TEST(start->order.timeLimit.count() == 1500);
    BOOST_TEST(start->order.demand == 42U);

    const task_outcome outcome{task_verdict::failed, reason::taskFailed, "body", 1234us};
    BOOST_REQUIRE(agent.rpc.post(answer_start{start->call, order.id, outcome, -1}));
    const auto finished = entry.events.waitFor<task_finished>();
    BOOST_REQUIRE(finished.has_value());
    BOOST_TEST(finished->agent.value == 22U);
    BOOST_TEST((finished->id == order.id));
    BOOST_TEST((finished->outcome.verdict == task_verdict::failed));
    BOOST_TEST((finished->outcome.why == reason::taskFailed));
    BOOST_TEST(finished->outcome.body == "body");
    BOOST_TEST(finished->outcome.runTime.count() == 1234);
    BOOST_TEST(finished->credits == -1);
}

BOOST_AUTO_TEST_SUITE_END()
