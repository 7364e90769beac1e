#include "job/entry_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(demand_sender_test)

// Guards against tasks that wait forever because no agent is informed of them.
BOOST_AUTO_TEST_CASE(waitingTasksWithoutCreditsAreAnnounced)
{
    entry_fixture entry;
    entry.joinAgent(1, 0);
    entry.submit(entry.jobFor(entry.issue(), 4));
    BOOST_TEST((entry.get<send_demand>().agent == agent_id{1}));
    BOOST_TEST(entry.get<send_demand>().queued == 4U);
}

// Guards against a demand message for each queued job, which would be pure overhead.
BOOST_AUTO_TEST_CASE(theIntervalOfDemandGrows)
{
    entry_fixture entry;
    entry.joinAgent(1, 0);
    std::size_t sent = 0;
    for (int i = 0; i < 100; ++i) {
        entry.submit(entry.jobFor(entry.issue(), 1));
        sent += entry.count<send_demand>();
    }
    BOOST_TEST(sent == 1U);
    entry.advance(5s);
    BOOST_TEST(entry.count<send_demand>() <= 12U);
    BOOST_TEST(entry.count<send_demand>() >= 5U);
}

// Guards against demand messages when recent starts already carried the queue size.
BOOST_AUTO_TEST_CASE(startsCarryTheDemand)
{
    entry_fixture entry;
    entry.joinAgent(1, 1);
    entry.submit(entry.jobFor(entry.issue(), 4));
    BOOST_TEST(entry.get<start_task>().order.demand == 3U);
    BOOST_TEST(entry.count<send_demand>() == 0U);
    entry.advance(10ms);
    entry.succeed(entry.all<start_task>().empty() ? start_task{} : entry.get<start_task>());
    BOOST_TEST(entry.count<send_demand>() == 0U);
}

// Guards against sending the demand to a single agent only, which may have no free slot.
BOOST_AUTO_TEST_CASE(demandIsSentToTheAgentsInTurn)
{
    entry_fixture entry;
    entry.joinAgent(1, 0);
    entry.joinAgent(2, 0);
    entry.submit(entry.jobFor(entry.issue()));
    const agent_id first = entry.get<send_demand>().agent;
    entry.advance(20ms);
    BOOST_TEST((entry.get<send_demand>().agent != first));
    entry.handle(agent_lost{.agent = first});
    entry.advance(2s);
    for (const send_demand &one : entry.all<send_demand>()) {
        BOOST_TEST((one.agent != first));
    }
}

// Guards against messages and timer events while the entry is idle.
BOOST_AUTO_TEST_CASE(anIdleEntrySendsNothing)
{
    entry_fixture entry;
    entry.joinAgent(1, 0);
    entry.advance(1min);
    BOOST_TEST(entry.actions.empty());
    BOOST_TEST(entry.wakeups == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
