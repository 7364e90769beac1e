#include "job/entry_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

peer_joined peer(std::uint64_t id)
{
    return {.info = {.id = {id}, .address = "10.0.0." + std::to_string(id) + ":1", .failureDomain = "a"}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(quota_exchange_test)

// Guards against peers that do not receive the quota usage, and against reports without peers.
BOOST_AUTO_TEST_CASE(usageIsReportedWhileThereArePeers)
{
    entry_fixture entry;
    entry.advance(5s);
    BOOST_TEST(entry.count<report_usage>() == 0U);
    entry.handle(peer_joined{peer(2)});
    entry.advance(3s);
    BOOST_TEST(entry.count<report_usage>() == 3U);
    entry.handle(peer_lost{.peer = {2}});
    entry.advance(5s);
    BOOST_TEST(entry.count<report_usage>() == 0U);
}

// Guards against a status that lists disconnected peers.
BOOST_AUTO_TEST_CASE(thePeersAreInTheStatus)
{
    entry_fixture entry;
    entry.handle(peer_joined{peer(2)});
    entry.handle(peer_joined{peer(3)});
    entry.handle(peer_lost{.peer = {2}});
    entry.handle(status_requested{.request = entry.nextRequest()});
    const auto peers = entry.get<reply_status>().status.peers;
    BOOST_REQUIRE(peers.size() == 1U);
    BOOST_TEST((peers.at(0).id == entry_id{3}));
}

BOOST_AUTO_TEST_SUITE_END()
