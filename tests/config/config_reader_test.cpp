#include "config/config_error.h"
#include "config/config_reader.h"
#include "config/record_codec.h"
#include "platform/memory_platform_log.h"
#include "support/config_stream.h"
#include "support/faulty_log.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

// Reads to the end of the stream.
void readAll(config_reader &reader)
{
    std::vector<applied_change> changes;
    do {
        BOOST_REQUIRE(!reader.poll(0ms, changes));
    } while (!reader.isCurrent() || reader.state().offset() + 1 < reader.nextOffset());
}

std::uint64_t appendSnapshot(platform_log &log, const config_reader &reader)
{
    std::uint64_t offset = 0;
    BOOST_REQUIRE(!log.append(TestStream, encodeRecord(reader.state().snapshot()), 0ms, offset));
    return offset;
}

// Peer with a copy that a test can change.
struct fixed_peer : peer_config_source {
    explicit fixed_peer(const config_reader &reader)
        : copy({.offset = reader.state().offset(), .text = encodeRecord(reader.state().snapshot())})
    {
    }

    std::optional<config_copy> newest(std::uint64_t /*above*/) override
    {
        return copy;
    }

    config_copy copy;
};

} // namespace

BOOST_AUTO_TEST_SUITE(config_reader_test)

// Guards against a start that misses the changes between the offset that a snapshot covers and the record of the snapshot.
BOOST_AUTO_TEST_CASE(startsFromTheNewestSnapshot)
{
    memory_platform_log log({.pageLimit = 100}); // One record per page.
    config_reader first(log, TestStream);
    const auto a = appendChange(log, "a", "[kind x]\n", 0);
    readAll(first);
    const auto b = appendChange(log, "b", "[kind y]\n", 0);
    const auto snapshot = appendSnapshot(log, first); // Covers a, not b.
    const auto c = appendChange(log, "a", "[kind z]\n", a);
    readAll(first);
    log.dropBelow(TestStream, b);
    config_reader second(log, TestStream);
    readAll(second);
    BOOST_TEST(second.state().files().at("a").version == c);
    BOOST_TEST(second.state().files().at("b").version == b);
    BOOST_TEST(second.state().offset() == first.state().offset());
    BOOST_TEST(second.oldestNeeded() == snapshot);
    BOOST_TEST(!second.hasGap());
    // Two snapshots at once are harmless.
    appendSnapshot(log, first);
    appendSnapshot(log, second);
    config_reader third(log, TestStream);
    readAll(third);
    readAll(first);
    BOOST_TEST(encodeRecord(third.state().snapshot()) == encodeRecord(first.state().snapshot()));
}

// Guards against an undetected loss: without a snapshot, a late reader must report that records are missing.
BOOST_AUTO_TEST_CASE(reportsALossThatNoSnapshotCovers)
{
    memory_platform_log log;
    appendChange(log, "a", "[kind x]\n", 0);
    config_reader early(log, TestStream);
    readAll(early);
    const auto b = appendChange(log, "b", "[kind y]\n", 0);
    log.dropBelow(TestStream, b);
    config_reader late(log, TestStream);
    readAll(late);
    BOOST_TEST(late.hasGap());
    BOOST_TEST(!late.state().files().contains("a"));
    readAll(early);
    BOOST_TEST(early.state().files().size() == 2U);
    // A peer that has read the lost records closes the gap.
    fixed_peer peer(early);
    config_reader helped(log, TestStream, &peer);
    readAll(helped);
    BOOST_TEST(!helped.hasGap());
    BOOST_TEST(helped.state().files().size() == 2U);
}

// Guards against a reader that adopts an older state from a peer or a snapshot.
BOOST_AUTO_TEST_CASE(neverGoesBack)
{
    memory_platform_log log;
    const auto first = appendChange(log, "a", "[kind x]\n", 0);
    config_reader old(log, TestStream);
    readAll(old);
    fixed_peer peer(old);
    config_reader reader(log, TestStream, &peer);
    const auto second = appendChange(log, "a", "[kind y]\n", first);
    readAll(reader);
    BOOST_TEST(!reader.adoptFromPeers());
    appendSnapshot(log, old);
    log.dropBelow(TestStream, second + 1);
    readAll(reader);
    BOOST_TEST(reader.state().files().at("a").version == second);
    BOOST_TEST(reader.state().offset() == second + 1);
    peer.copy.offset = 1000; // Does not match its own text.
    BOOST_TEST(!reader.adoptFromPeers());
}

// Guards against an outage during the start after which records are missing or applied twice.
BOOST_AUTO_TEST_CASE(continuesAStartAfterAnOutage)
{
    memory_platform_log log({.pageLimit = 100});
    faulty_log broken(log);
    std::uint64_t version = 0;
    for (int i = 0; i < 5; ++i) {
        version = appendChange(log, "a", "[kind x]\n", version);
    }
    config_reader reader(broken, TestStream);
    std::vector<applied_change> changes;
    BOOST_REQUIRE(!reader.poll(0ms, changes));
    broken.setFaults({.isDown = true});
    BOOST_TEST((reader.poll(0ms, changes) == config_error::logUnavailable));
    BOOST_TEST(!reader.isCurrent());
    BOOST_TEST(reader.state().files().empty());
    broken.setFaults({});
    readAll(reader);
    BOOST_TEST(reader.state().files().at("a").version == version);
}

BOOST_AUTO_TEST_SUITE_END()
