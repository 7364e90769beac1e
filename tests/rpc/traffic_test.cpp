#include "rpc/test_agent.h"
#include "rpc/test_entry.h"

#include <boost/test/unit_test.hpp>
#include <sys/resource.h>

#include <chrono>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

using seconds = std::chrono::duration<double>;

// CPU time of the whole process.
seconds cpuTime()
{
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    const auto toSeconds = [](const timeval &value) {
        return seconds(static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_usec) * 1e-6);
    };
    return toSeconds(usage.ru_utime) + toSeconds(usage.ru_stime);
}

double bytes(const rpc_traffic &traffic)
{
    return static_cast<double>(traffic.sent + traffic.received);
}

} // namespace

BOOST_AUTO_TEST_SUITE(traffic_test)

// Guards against control traffic of an idle agent above the limit of 8 KB/s, for example a heartbeat at every check of the sessions.
BOOST_AUTO_TEST_CASE(keepsAnIdleAgentWithinItsBound)
{
    test_entry first(11);
    test_entry second(12, {first.rpc.address()});
    test_entry third(13, {first.rpc.address()});
    test_agent agent(22, {first.rpc.address()});
    for (test_entry *entry : {&first, &second, &third}) {
        BOOST_REQUIRE(entry->events.waitFor<agent_joined>().has_value());
    }
    agent.events.collect(1s);
    const double before = bytes(agent.rpc.traffic());
    const seconds cpuBefore = cpuTime();
    const mono_time start = mono_clock::now();
    agent.events.collect(5s);
    const seconds elapsed = mono_clock::now() - start;
    const double rate = (bytes(agent.rpc.traffic()) - before) / elapsed.count();
    const seconds cpu = cpuTime() - cpuBefore;
    BOOST_TEST_MESSAGE("idle agent at 3 entries: " << rate << " bytes/s, CPU of the 4 adapters: " << cpu / elapsed * 100 << " % of a core");
    BOOST_TEST(rate > 0);
    BOOST_TEST(rate < 8000);
}

// Guards against further messages for a task besides its start and its outcome, and against messages much larger than their content.
BOOST_AUTO_TEST_CASE(keepsTheMessagesOfATaskSmall)
{
    constexpr std::uint32_t tasks = 2000;
    constexpr std::size_t bodyBytes = 100;
    test_entry entry(11);
    test_agent agent(22, {entry.rpc.address()});
    BOOST_REQUIRE(entry.events.waitFor<agent_joined>().has_value());
    BOOST_REQUIRE(agent.events.waitFor<entry_joined>().has_value());
    const rpc_traffic before = entry.rpc.traffic();
    const seconds cpuBefore = cpuTime();
    for (std::uint32_t index = 0; index < tasks; ++index) {
        const start_order order{task_id{ticket_id{11, 1}, index}, "lookup", "team-a", std::string(bodyBytes, 'p'), 10s, 3};
        BOOST_REQUIRE(entry.rpc.post(start_task{agent_id{22}, order}));
        const auto start = agent.events.waitFor<start_received>();
        BOOST_REQUIRE(start.has_value());
        const task_outcome outcome{task_verdict::succeeded, reason::none, std::string(bodyBytes, 'r'), 50ms};
        BOOST_REQUIRE(agent.rpc.post(answer_start{start->call, order.id, outcome, 1}));
        BOOST_REQUIRE(entry.events.waitFor<task_finished>().has_value());
    }
    const seconds cpu = cpuTime() - cpuBefore;
    const rpc_traffic after = entry.rpc.traffic();
    const double sent = static_cast<double>(after.sent - before.sent) / tasks;
    const double received = static_cast<double>(after.received - before.received) / tasks;
    BOOST_TEST_MESSAGE("task with " << bodyBytes << " bytes each way: sent " << sent << ", received " << received << " bytes, CPU of both sides "
                                    << cpu.count() / tasks * 1e6 << " us");
    BOOST_TEST(sent < bodyBytes + 400);
    BOOST_TEST(received < bodyBytes + 300);
}

BOOST_AUTO_TEST_SUITE_END()
