#include "place/slot_table.h"

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <set>
#include <string>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t Endpoints = 11;

/** Eleven endpoints with eight credits each. */
struct lane_fixture {
    lane_fixture()
    {
        for (std::uint64_t agent = 1; agent <= Endpoints; ++agent) {
            join(agent, agent);
        }
    }

    void join(std::uint64_t agent, std::uint64_t address)
    {
        agent_info info;
        info.id = {agent};
        info.address = "10.1.0." + std::to_string(address) + ":8145";
        info.slots = 8;
        info.failureDomain = std::to_string(address % 3);
        info.kinds = {"service"};
        table.join(info, 8, 600ms, now);
    }

    // Uses all credits of a lane. Returns the agents that got a task.
    std::set<std::uint64_t> drain(placement_lane lane)
    {
        std::set<std::uint64_t> used;
        while (const auto agent = table.acquire("service", now, true, lane)) {
            used.insert(agent->value);
        }
        return used;
    }

    slot_table table{"credits", 1};
    mono_time now{1h};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(placement_lane_test, lane_fixture)

// Guards against tasks of a quarantined kind on endpoints that other kinds use, and the reverse.
BOOST_AUTO_TEST_CASE(lanesShareNoEndpoint)
{
    table.setIsolated(true, now);
    const auto isolated = drain(placement_lane::isolated);
    const auto suspect = drain(placement_lane::suspect);
    const auto shared = drain(placement_lane::shared);
    BOOST_TEST(isolated.size() == 2U);
    BOOST_TEST(suspect.size() == 1U);
    BOOST_TEST(shared.size() == 8U);
    std::set<std::uint64_t> all = shared;
    all.insert(isolated.begin(), isolated.end());
    all.insert(suspect.begin(), suspect.end());
    BOOST_TEST(all.size() == Endpoints);
    BOOST_TEST(table.slots("service") == 8 * Endpoints);
    BOOST_TEST(table.slots("service", placement_lane::shared) == 8 * shared.size());
}

// Guards against endpoints that stay isolated after the quarantine.
BOOST_AUTO_TEST_CASE(allEndpointsAreSharedAfterTheIsolation)
{
    table.setIsolated(true, now);
    table.setIsolated(false, now);
    BOOST_TEST(drain(placement_lane::shared).size() == Endpoints);
    BOOST_TEST(table.slots("service", placement_lane::shared) == 8 * Endpoints);
}

// Guards against crashes that reach all endpoints in turn, because each crashed endpoint is replaced by another one in its lane.
BOOST_AUTO_TEST_CASE(aCrashedEndpointKeepsItsLane)
{
    table.setIsolated(true, now);
    const auto isolated = drain(placement_lane::isolated);
    for (const std::uint64_t agent : isolated) {
        table.leave({agent});
    }
    BOOST_TEST(!table.isPlaceable("service", now, true, placement_lane::isolated));
    BOOST_TEST(table.slots("service", placement_lane::isolated) == 0U);
    now += 3s;
    for (const std::uint64_t agent : isolated) {
        join(100 + agent, agent);
    }
    BOOST_TEST(drain(placement_lane::isolated).size() == isolated.size());
    BOOST_TEST(drain(placement_lane::shared).size() == 8U);
}

// Guards against a new endpoint without a lane.
BOOST_AUTO_TEST_CASE(aNewEndpointGetsALane)
{
    table.setIsolated(true, now);
    join(12, 12);
    std::size_t all = 0;
    for (const placement_lane lane : {placement_lane::shared, placement_lane::isolated, placement_lane::suspect}) {
        all += drain(lane).size();
    }
    BOOST_TEST(all == Endpoints + 1);
}

BOOST_AUTO_TEST_SUITE_END()
