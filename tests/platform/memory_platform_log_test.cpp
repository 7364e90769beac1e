#include "platform/memory_platform_log.h"
#include "platform/platform_error.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace teaselward;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(memory_platform_log_test)

// Guards against retention that changes offsets or hides that records were dropped.
BOOST_AUTO_TEST_CASE(dropsOldRecordsAndKeepsOffsets)
{
    mono_time now{};
    memory_platform_log log({.retention = 10s, .now = [&now] {
                                 return now;
                             }});
    std::uint64_t offset = 0;
    log_page page;
    BOOST_REQUIRE(!log.append("s", "a", 0ms, offset));
    now += 8s;
    BOOST_REQUIRE(!log.append("s", "b", 0ms, offset));
    now += 3s;
    BOOST_TEST((log.read("s", 1, 0ms, page) == platform_error::belowRetention));
    BOOST_TEST(page.first == 2U);
    BOOST_REQUIRE(!log.read("s", 2, 0ms, page));
    BOOST_TEST(page.records.front().body == "b");
    now += 20s;
    BOOST_TEST((log.read("s", 2, 0ms, page) == platform_error::belowRetention));
    BOOST_REQUIRE(!log.read("s", page.first, 0ms, page));
    BOOST_TEST(page.records.empty());
}

// Guards against unbounded pages, and against a record above the page limit that can never be read.
BOOST_AUTO_TEST_CASE(boundsPagesAndRecords)
{
    memory_platform_log log({.recordLimit = 100, .pageLimit = 50});
    std::uint64_t offset = 0;
    log_page page;
    BOOST_TEST((log.append("s", std::string(101, 'x'), 0ms, offset) == platform_error::tooLarge));
    BOOST_REQUIRE(!log.append("s", std::string(100, 'x'), 0ms, offset));
    BOOST_REQUIRE(!log.append("s", std::string(30, 'x'), 0ms, offset));
    BOOST_REQUIRE(!log.append("s", std::string(30, 'x'), 0ms, offset));
    BOOST_REQUIRE(!log.read("s", 1, 0ms, page));
    BOOST_TEST(page.records.size() == 1U);
    BOOST_REQUIRE(!log.read("s", 2, 0ms, page));
    BOOST_TEST(page.records.size() == 1U);
    BOOST_TEST(page.next == 4U);
}

BOOST_AUTO_TEST_SUITE_END()
