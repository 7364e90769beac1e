#include "config/config_follower.h"
#include "config/record_codec.h"
#include "log/null_logger.h"
#include "platform/http_platform_log.h"
#include "platform/memory_platform_log.h"
#include "support/config_stream.h"
#include "support/faulty_log.h"
#include "support/log_server.h"
#include "support/rule_inbox.h"
#include "support/virtual_wall_clock.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

// Requirement: a change is active within this time.
constexpr std::chrono::milliseconds ActivationLimit = 2s;

std::string kindWithWeight(int weight)
{
    return "[kind check]\nweight = " + std::to_string(weight) + "\n";
}

wall_time utc(std::chrono::sys_days day, std::chrono::minutes time)
{
    return day + time;
}

// Peer that returns the configuration of another follower.
class follower_peer : public peer_config_source
{
public:
    explicit follower_peer(const config_follower &peer)
        : m_peer(peer)
    {
    }

    std::optional<config_copy> newest(std::uint64_t /*above*/) override
    {
        return m_peer.snapshot();
    }

private:
    const config_follower &m_peer;
};

} // namespace

BOOST_AUTO_TEST_SUITE(config_follower_test)

// Guards against a change that does not reach the decision thread; covers the whole path from HTTP to the ring.
BOOST_AUTO_TEST_CASE(activatesChanges)
{
    log_server server;
    http_platform_log client({.url = server.url()});
    http_platform_log operatorLog({.url = server.url()});
    rule_inbox inbox;
    null_logger nullLogger;
    config_follower follower({}, client, inbox.ring(), nullLogger);
    const auto first = appendChange(operatorLog, "a.ini", kindWithWeight(3) + "[team north]\nquota = 7\n", 0);
    BOOST_TEST(inbox.waitForWeight("check", 3, ActivationLimit));
    const auto second = appendChange(operatorLog, "a.ini", kindWithWeight(4), first);
    const auto rules = inbox.waitFor(
        [second](const rule_set &set) {
            return set.offset == second;
        },
        ActivationLimit);
    BOOST_REQUIRE(rules != nullptr);
    BOOST_TEST(rules->kinds.at("check").weight == 4);
    BOOST_TEST(rules->teams.empty());
}

// Guards against a change that is delayed by a long backoff after an outage, and against rules that are lost in an outage.
BOOST_AUTO_TEST_CASE(followsAgainSoonAfterAnOutage)
{
    log_server server;
    http_platform_log client({.url = server.url()});
    rule_inbox inbox;
    null_logger nullLogger;
    const auto first = appendChange(server.log(), "a.ini", kindWithWeight(3), 0);
    config_follower follower({}, client, inbox.ring(), nullLogger);
    BOOST_REQUIRE(inbox.waitForWeight("check", 3, ActivationLimit));
    server.setFaults({.isDown = true});
    std::this_thread::sleep_for(3s);
    BOOST_TEST(!inbox.ring().tryPop().has_value());
    appendChange(server.log(), "a.ini", kindWithWeight(4), first);
    server.setFaults({});
    BOOST_TEST(inbox.waitForWeight("check", 4, ActivationLimit));
}

// Guards against a change that is delayed after an outage in which requests hang instead of being refused.
BOOST_AUTO_TEST_CASE(followsAgainSoonAfterTheLogHung)
{
    log_server server;
    http_platform_log client({.url = server.url()});
    rule_inbox inbox;
    null_logger nullLogger;
    const auto first = appendChange(server.log(), "a.ini", kindWithWeight(3), 0);
    config_follower follower({}, client, inbox.ring(), nullLogger);
    BOOST_REQUIRE(inbox.waitForWeight("check", 3, ActivationLimit));
    server.setFaults({.delay = 2500ms});
    std::this_thread::sleep_for(3s);
    appendChange(server.log(), "a.ini", kindWithWeight(4), first);
    server.setFaults({});
    BOOST_TEST(inbox.waitForWeight("check", 4, ActivationLimit));
}

// Guards against an entry that has no rules after a start during an outage, or that returns to older rules when the log recovers.
BOOST_AUTO_TEST_CASE(startsFromAPeerDuringAnOutage)
{
    memory_platform_log log;
    faulty_log broken(log);
    null_logger nullLogger;
    rule_inbox peerInbox;
    const auto first = appendChange(log, "a.ini", kindWithWeight(3), 0);
    config_follower peer({}, log, peerInbox.ring(), nullLogger);
    BOOST_REQUIRE(peerInbox.waitForWeight("check", 3, ActivationLimit));
    broken.setFaults({.isDown = true});
    follower_peer copies(peer);
    rule_inbox inbox;
    config_follower follower({}, broken, inbox.ring(), nullLogger, &copies);
    BOOST_TEST(inbox.waitForWeight("check", 3, ActivationLimit));
    BOOST_TEST(follower.snapshot().value().offset == first);
    appendChange(log, "a.ini", kindWithWeight(4), first);
    broken.setFaults({});
    BOOST_TEST(inbox.waitForWeight("check", 4, ActivationLimit));
}

// Guards against an entry that keeps outdated rules while only this entry cannot reach the log.
BOOST_AUTO_TEST_CASE(followsItsPeersWhileTheLogIsUnreachable)
{
    memory_platform_log log;
    faulty_log broken(log);
    null_logger nullLogger;
    rule_inbox peerInbox;
    rule_inbox inbox;
    const auto first = appendChange(log, "a.ini", kindWithWeight(3), 0);
    config_follower peer({}, log, peerInbox.ring(), nullLogger);
    follower_peer copies(peer);
    config_follower follower({}, broken, inbox.ring(), nullLogger, &copies);
    BOOST_REQUIRE(inbox.waitForWeight("check", 3, ActivationLimit));
    broken.setFaults({.isDown = true});
    const auto second = appendChange(log, "a.ini", kindWithWeight(4), first);
    BOOST_TEST(inbox.waitForWeight("check", 4, ActivationLimit));
    broken.setFaults({});
    appendChange(log, "a.ini", kindWithWeight(5), second);
    BOOST_TEST(inbox.waitForWeight("check", 5, ActivationLimit));
}

// Guards against a process that loses its rules or returns to older ones when the log drops all records that it has read.
BOOST_AUTO_TEST_CASE(keepsItsRulesWhenRetentionOvertakesIt)
{
    memory_platform_log log;
    faulty_log broken(log);
    null_logger nullLogger;
    rule_inbox inbox;
    const auto first = appendChange(log, "a.ini", kindWithWeight(3), 0);
    config_follower follower({}, broken, inbox.ring(), nullLogger);
    BOOST_REQUIRE(inbox.waitForWeight("check", 3, ActivationLimit));
    broken.setFaults({.isDown = true});
    const auto second = appendChange(log, "b.ini", "[kind other]\nweight = 2\n", 0);
    appendChange(log, "a.ini", kindWithWeight(5), first);
    log.dropBelow(TestStream, second + 1);
    broken.setFaults({});
    BOOST_TEST(inbox.waitForWeight("check", 5, ActivationLimit));
}

// Guards against a configuration that is lost at the end of the retention although nobody has changed it.
BOOST_AUTO_TEST_CASE(publishesASnapshotBeforeRetentionEnds)
{
    constexpr std::chrono::milliseconds retention = 800ms;
    memory_platform_log log({.retention = retention});
    null_logger nullLogger;
    rule_inbox inbox;
    const auto first = appendChange(log, "a.ini", kindWithWeight(3), 0);
    config_follower_settings settings;
    settings.retention = retention;
    config_follower follower(settings, log, inbox.ring(), nullLogger);
    config_follower otherFollower(settings, log, inbox.ring(), nullLogger);
    std::this_thread::sleep_for(4 * retention);
    rule_inbox lateInbox;
    config_follower lateFollower(settings, log, lateInbox.ring(), nullLogger);
    BOOST_TEST(lateInbox.waitForWeight("check", 3, ActivationLimit));
    appendChange(log, "a.ini", kindWithWeight(4), first);
    BOOST_TEST(lateInbox.waitForWeight("check", 4, ActivationLimit));
}

// Guards against peaks that begin late, and against a clock change that has no effect if it is published after it happened.
BOOST_AUTO_TEST_CASE(followsLocalTime)
{
    using namespace std::chrono;
    memory_platform_log log;
    null_logger nullLogger;
    rule_inbox inbox;
    virtual_wall_clock clock;
    const sys_days day = 2027y / March / 28;
    clock.set(utc(day, 6h + 30min));
    config_follower follower({}, log, inbox.ring(), nullLogger, nullptr, &clock);
    appendChange(log, "10-kinds.ini", kindWithWeight(1), 0);
    appendChange(log, "20-peak.ini", "[peak morning]\nzone = capital\nfrom = 08:00\nto = 09:00\nkinds = check\nweight = 9\n", 0);
    appendChange(log, "30-zone.ini", "[zone capital]\noffset = +01:00\n", 0);
    BOOST_REQUIRE(inbox.waitForWeight("check", 1, ActivationLimit));
    clock.set(utc(day, 7h));
    BOOST_TEST(inbox.waitForWeight("check", 9, ActivationLimit));
    // The clock went forward at 01:00 UTC, so the local time is already 09:00 and the peak is over.
    appendChange(log, "40-change.ini", "[zone capital]\n2027-03-28T01:00Z = +02:00\n", 0);
    BOOST_TEST(inbox.waitForWeight("check", 1, ActivationLimit));
    clock.set(utc(day + days(1), 6h));
    BOOST_TEST(inbox.waitForWeight("check", 9, ActivationLimit));
}

// Guards against rules that are lost while the ring of a busy decision thread is full.
BOOST_AUTO_TEST_CASE(sendsTheNewestRulesOnceTheRingHasRoom)
{
    memory_platform_log log;
    null_logger nullLogger;
    bounded_ring<entry_event> ring(1);
    config_follower follower({}, log, ring, nullLogger);
    auto version = appendChange(log, "a.ini", kindWithWeight(1), 0);
    for (int weight = 2; weight <= 5; ++weight) {
        version = appendChange(log, "a.ini", kindWithWeight(weight), version);
    }
    const mono_time until = mono_clock::now() + ActivationLimit;
    double weight = 0;
    while (weight != 5) {
        std::this_thread::sleep_for(100ms);
        const auto event = ring.popUntil(until);
        BOOST_REQUIRE(event.has_value());
        const auto &kinds = std::get<rules_applied>(*event).rules->kinds;
        weight = kinds.contains("check") ? kinds.at("check").weight : 0;
    }
}

BOOST_AUTO_TEST_SUITE_END()
