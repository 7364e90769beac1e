#include "config/config_merge.h"
#include "config/config_print.h"
#include "config/config_publisher.h"
#include "config/config_reader.h"
#include "config/record_codec.h"
#include "platform/memory_platform_log.h"
#include "support/config_stream.h"
#include "support/faulty_log.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <memory>
#include <random>
#include <set>
#include <string>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

constexpr int Rounds = 60;
constexpr int Steps = 120;

// Reader that checks that its offset never decreases and that no append id is accepted twice.
struct checked_reader {
    explicit checked_reader(platform_log &log)
        : reader(log, TestStream)
    {
    }

    config_reader reader;
    std::uint64_t offset = 0;
    std::set<std::string> accepted;

    void poll(int pages)
    {
        std::vector<applied_change> changes;
        for (int i = 0; i < pages; ++i) {
            [[maybe_unused]] const std::error_code error = reader.poll(0ms, changes);
            BOOST_REQUIRE(reader.state().offset() >= offset);
            offset = reader.state().offset();
        }
        for (const applied_change &applied : changes) {
            BOOST_REQUIRE((applied.result.outcome != change_outcome::accepted || accepted.insert(applied.change.appendId).second));
        }
    }

    void finish()
    {
        do {
            poll(1);
        } while (!reader.isCurrent() || offset + 1 < reader.nextOffset());
    }
};

// One random history: operators with outdated state and lost answers, readers that start and pause, snapshots, dropped records.
class random_history
{
public:
    explicit random_history(std::uint64_t seed)
        : m_random(seed)
    {
    }

    void run()
    {
        m_readers.push_back(std::make_unique<checked_reader>(m_faulty));
        for (int i = 0; i < Steps; ++i) {
            step();
        }
        m_faulty.setFaults({});
        m_readers.push_back(std::make_unique<checked_reader>(m_log));
        for (const auto &reader : m_readers) {
            reader->finish();
            BOOST_REQUIRE(!reader->reader.hasGap());
            BOOST_REQUIRE(encodeRecord(reader->reader.state().snapshot()) == encodeRecord(m_readers.front()->reader.state().snapshot()));
        }
        BOOST_REQUIRE(printModel(mergeFiles(m_readers.back()->reader.state().files())) == printModel(mergeFiles(m_readers.front()->reader.state().files())));
    }

private:
    int below(int limit)
    {
        return std::uniform_int_distribution<int>(0, limit - 1)(m_random);
    }

    checked_reader &anyReader()
    {
        return *m_readers[static_cast<std::size_t>(below(static_cast<int>(m_readers.size())))];
    }

    void step()
    {
        const int choice = below(20);
        if (choice < 8) {
            publish();
        } else if (choice < 13) {
            anyReader().poll(1 + below(3));
        } else if (choice < 15) {
            m_faulty.setFaults({.isDown = below(3) == 0, .lostResponses = below(2), .droppedAppends = below(2), .duplicates = below(2)});
        } else if (choice == 15) {
            m_readers.push_back(std::make_unique<checked_reader>(below(2) == 0 ? static_cast<platform_log &>(m_log) : m_faulty));
        } else if (choice == 16) {
            snapshotAndDrop();
        } else {
            repeat();
        }
    }

    // Appends a change based on the state of some reader, which may be outdated.
    void publish()
    {
        const std::string file(1, static_cast<char>('a' + below(4)));
        const auto &files = anyReader().reader.state().files();
        const auto found = files.find(file);
        change_record change;
        change.file = file;
        change.baseVersion = found == files.end() ? 0 : found->second.version;
        change.appendId = std::to_string(m_random());
        change.author = "op";
        if (below(4) != 0) {
            change.content = "[kind k" + std::to_string(below(3)) + "]\nweight = " + std::to_string(below(5)) + "\n"; // Zero is invalid.
        }
        m_bodies.push_back(encodeRecord(change));
        append(m_bodies.back());
    }

    // Repeats an earlier append, like an operator who did not receive the answer.
    void repeat()
    {
        if (!m_bodies.empty()) {
            append(m_bodies[static_cast<std::size_t>(below(static_cast<int>(m_bodies.size())))]);
        }
    }

    void append(const std::string &body)
    {
        std::uint64_t offset = 0;
        [[maybe_unused]] const std::error_code error = m_faulty.append(TestStream, body, 0ms, offset);
    }

    // A current reader publishes a snapshot; then the log drops records that the snapshot covers.
    void snapshotAndDrop()
    {
        const config_reader &reader = anyReader().reader;
        std::uint64_t offset = 0;
        if (!reader.isCurrent() || reader.state().offset() == 0 || m_log.append(TestStream, encodeRecord(reader.state().snapshot()), 0ms, offset)) {
            return;
        }
        m_log.dropBelow(TestStream, reader.state().offset() + 1 - static_cast<std::uint64_t>(below(2)));
    }

    std::mt19937_64 m_random;
    memory_platform_log m_log{memory_platform_log_settings{.pageLimit = 300}};
    faulty_log m_faulty{m_log};
    std::vector<std::unique_ptr<checked_reader>> m_readers;
    std::vector<std::string> m_bodies;
};

} // namespace

BOOST_AUTO_TEST_SUITE(config_property_test)

// Guards against any order of events after which two readers have different files or a reader has returned to an older state.
// TEASELWARD_SEED repeats one history.
BOOST_AUTO_TEST_CASE(allReadersEndWithTheSameFiles)
{
    const char *fixed = std::getenv("TEASELWARD_SEED");
    std::random_device device;
    for (int round = 0; round < (fixed == nullptr ? Rounds : 1); ++round) {
        const std::uint64_t seed = fixed == nullptr ? device() : std::strtoull(fixed, nullptr, 10);
        BOOST_TEST_CONTEXT("TEASELWARD_SEED=" << seed)
        {
            random_history(seed).run();
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
