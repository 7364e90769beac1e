#include "rpc/snapshot_source.h"
#include "rpc/test_agent.h"
#include "rpc/test_entry.h"

#include <absl/synchronization/mutex.h>
#include <boost/test/unit_test.hpp>

#include <chrono>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

// Snapshot source that accepts every newer copy.
class test_snapshot_source final : public snapshot_source
{
public:
    explicit test_snapshot_source(config_snapshot snapshot)
        : m_snapshot(std::move(snapshot))
    {
    }

    std::uint64_t offset() const override
    {
        absl::MutexLock lock(&m_mutex);
        return m_snapshot.offset;
    }

    config_snapshot copy() const override
    {
        absl::MutexLock lock(&m_mutex);
        return m_snapshot;
    }

    bool isNewer(std::uint64_t offset) const override
    {
        absl::MutexLock lock(&m_mutex);
        return offset > m_snapshot.offset;
    }

    void receive(config_snapshot snapshot) override
    {
        absl::MutexLock lock(&m_mutex);
        m_snapshot = std::move(snapshot);
    }

    bool waitForOffset(std::uint64_t offset)
    {
        const auto isReached = [this, offset] {
            return m_snapshot.offset == offset;
        };
        absl::MutexLock lock(&m_mutex);
        return m_mutex.AwaitWithTimeout(absl::Condition(&isReached), absl::Seconds(20));
    }

private:
    mutable absl::Mutex m_mutex;
    config_snapshot m_snapshot;
};

} // namespace

BOOST_AUTO_TEST_SUITE(snapshot_test)

// Guards against a process that starts during an outage of the platform log and gets no configuration.
BOOST_AUTO_TEST_CASE(givesTheNewestCopyToEntriesAndAgents)
{
    test_snapshot_source full({70, "[kind lookup]\nweight=2\n"});
    test_snapshot_source empty({0, ""});
    test_snapshot_source atAgent({0, ""});
    entry_rpc_settings firstSettings = test_entry::makeSettings(11);
    firstSettings.snapshots = &full;
    test_entry first(firstSettings);
    entry_rpc_settings secondSettings = test_entry::makeSettings(12, {first.rpc.address()});
    secondSettings.snapshots = &empty;
    test_entry second(secondSettings);
    BOOST_TEST(empty.waitForOffset(70));
    BOOST_TEST(empty.copy().text == full.copy().text);
    agent_rpc_settings agentSettings = test_agent::makeSettings(22, {second.rpc.address()});
    agentSettings.snapshots = &atAgent;
    test_agent agent(agentSettings);
    BOOST_TEST(atAgent.waitForOffset(70));
    BOOST_TEST(atAgent.copy().text == full.copy().text);
}

// Guards against a copy that is only sent from the accepting to the connecting side, and against copies that are fetched only at the
// start of a session.
BOOST_AUTO_TEST_CASE(givesALaterCopyDuringTheSession)
{
    test_snapshot_source changing({1, "old"});
    test_snapshot_source following({5, "older process"});
    test_snapshot_source atAgent({0, ""});
    entry_rpc_settings firstSettings = test_entry::makeSettings(11);
    firstSettings.snapshots = &changing;
    test_entry first(firstSettings);
    entry_rpc_settings secondSettings = test_entry::makeSettings(12, {first.rpc.address()});
    secondSettings.snapshots = &following;
    test_entry second(secondSettings);
    agent_rpc_settings agentSettings = test_agent::makeSettings(22, {first.rpc.address()});
    agentSettings.snapshots = &atAgent;
    test_agent agent(agentSettings);
    BOOST_REQUIRE(second.events.waitFor<peer_joined>().has_value());
    BOOST_REQUIRE(second.rpc.post(report_usage{}));
    BOOST_TEST(changing.waitForOffset(5));
    changing.receive({9, "new"});
    BOOST_REQUIRE(first.rpc.post(report_usage{}));
    BOOST_TEST(following.waitForOffset(9));
    // Agents learn of the newer copy by the next heartbeat.
    BOOST_TEST(atAgent.waitForOffset(9));
}

BOOST_AUTO_TEST_SUITE_END()
