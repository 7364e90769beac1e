#include "job/restartable_entry.h"

#include <boost/test/unit_test.hpp>

#include <cstdint>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds Born{1'770'000'000'000};

/** Entry at which several incarnations of the agent of one endpoint register. */
struct entry_with_incarnations : restartable_entry {
    void join(std::uint64_t id, std::uint64_t token, std::chrono::milliseconds endpointStart = Born)
    {
        agent_joined event{.info = agentInfo(id, "10.1.0.1:1"), .credits = 8, .lease = 600ms};
        event.info.kinds = {"register"};
        event.info.endpointStart = endpointStart;
        event.info.fencingToken = token;
        handle(event);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(late_registration_test, entry_with_incarnations)

// Guards against a second run beside the one at the agent, when the registration of its former incarnation was delayed on the network
// and arrives after its own.
BOOST_AUTO_TEST_CASE(aLateRegistrationOfAFormerIncarnationFreesNoTask)
{
    join(2, 20);
    submitKeyed("0011");
    BOOST_TEST(get<start_task>().agent.value == 2U);
    join(1, 10);
    BOOST_TEST(count<start_task>() == 0U);
    join(4, 30, Born - 5s); // Of a former life of the worker.
    BOOST_TEST(count<start_task>() == 0U);
    join(5, 0, 0ms); // Of an older build.
    BOOST_TEST(count<start_task>() == 0U);
}

// Guards against a task that waits although the next incarnation of its agent has shown that no run is left.
BOOST_AUTO_TEST_CASE(theNextIncarnationFreesTheTasksOfTheFormerOne)
{
    join(1, 10);
    submitKeyed("0011");
    BOOST_TEST(get<start_task>().agent.value == 1U);
    join(2, 20);
    BOOST_TEST(get<start_task>().agent.value == 2U);
    join(3, 5, Born + 5s); // Of the next life of the worker, after the clock of the agent was set back.
    advance(20ms); // A task that was placed twice waits for a moment.
    BOOST_TEST(get<start_task>().agent.value == 3U);
}

BOOST_AUTO_TEST_SUITE_END()
