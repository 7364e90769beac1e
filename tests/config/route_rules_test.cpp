#include "config/route_rules.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;

namespace
{

route_config routesWith(std::uint32_t first, std::uint32_t second)
{
    route_config config;
    config.routes.resize(2);
    config.routes[0].kind = "a";
    config.routes[0].priority = first;
    config.routes[1].kind = "b";
    config.routes[1].priority = second;
    return config;
}

} // namespace

BOOST_AUTO_TEST_SUITE(route_rules_test)

// Guards against a reserve for the wrong kind, and against a reserve if all kinds have the same priority.
BOOST_AUTO_TEST_CASE(theLowestNumberIsTheHighestPriority)
{
    const rule_set rules = routeRules(routesWith(1, 2));
    BOOST_TEST(rules.kinds.at("a").highPriority);
    BOOST_TEST(!rules.kinds.at("b").highPriority);
    BOOST_TEST(!routeRules(routesWith(1, 1)).kinds.at("a").highPriority);
    route_config apart = routesWith(1, 2);
    apart.routes[1].service = "other";
    BOOST_TEST(!routeRules(apart).kinds.at("a").highPriority);
}

// Guards against a configuration without routes that yields rules.
BOOST_AUTO_TEST_CASE(noRoutesYieldNoRules)
{
    BOOST_TEST(routeRules({}).kinds.empty());
}

BOOST_AUTO_TEST_SUITE_END()
