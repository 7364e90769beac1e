#include "place/isolation_plan.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

using namespace teaselward;

namespace
{

std::vector<std::string> addresses(std::size_t count)
{
    std::vector<std::string> found;
    for (std::size_t i = 0; i < count; ++i) {
        found.push_back("10.1.0." + std::to_string(i) + ":8145");
    }
    return found;
}

std::size_t countOf(const std::map<std::string, placement_lane, std::less<>> &lanes, placement_lane lane)
{
    return static_cast<std::size_t>(std::ranges::count_if(lanes, [lane](const auto &item) {
        return item.second == lane;
    }));
}

} // namespace

BOOST_AUTO_TEST_SUITE(isolation_plan_test)

// Guards against isolation that takes too many endpoints from the other kinds, or leaves none to the quarantined kind.
BOOST_AUTO_TEST_CASE(isolatesAQuarterOfTheEndpoints)
{
    for (const std::size_t count : {2, 3, 11, 70, 160}) {
        BOOST_TEST_CONTEXT(count << " endpoints")
        {
            const auto lanes = planIsolation(addresses(count));
            BOOST_TEST(lanes.size() == count);
            BOOST_TEST(countOf(lanes, placement_lane::shared) >= count / 2);
            BOOST_TEST(countOf(lanes, placement_lane::isolated) >= 1U);
            BOOST_TEST(countOf(lanes, placement_lane::shared) == count - (count + 3) / 4);
        }
    }
}

// Guards against the isolation of the only endpoint, after which no other kind could run.
BOOST_AUTO_TEST_CASE(isolatesNothingWithASingleEndpoint)
{
    BOOST_TEST(countOf(planIsolation(addresses(1)), placement_lane::shared) == 1U);
    BOOST_TEST(planIsolation({}).empty());
}

// Guards against entries that isolate different endpoints because they learned of them in another order.
BOOST_AUTO_TEST_CASE(dependsOnlyOnTheAddresses)
{
    auto reversed = addresses(11);
    std::ranges::reverse(reversed);
    BOOST_TEST((planIsolation(addresses(11)) == planIsolation(reversed)));
}

// Guards against a lost endpoint that changes the lanes of most others, which would spread the crashes.
BOOST_AUTO_TEST_CASE(keepsMostLanesWhenAnEndpointLeaves)
{
    const auto before = planIsolation(addresses(70));
    const auto after = planIsolation(addresses(69));
    const auto changed = std::ranges::count_if(after, [&before](const auto &item) {
        return before.at(item.first) != item.second;
    });
    BOOST_TEST(changed <= 2);
}

BOOST_AUTO_TEST_SUITE_END()
