#include "base/duty_thread.h"
#include "platform/http_platform_log.h"
#include "platform/platform_error.h"
#include "support/log_server.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

constexpr std::chrono::milliseconds Timeout = 500ms;

} // namespace

BOOST_AUTO_TEST_SUITE(http_platform_log_test)

// Guards against bodies that the encoding alters, and against wrong offsets.
BOOST_AUTO_TEST_CASE(returnsTheBytesThatWereAppended)
{
    log_server server;
    http_platform_log client({.url = server.url()});
    const std::string body("\0\xff\n\"{}", 6);
    std::uint64_t offset = 0;
    BOOST_REQUIRE(!client.append("s", body, Timeout, offset));
    BOOST_TEST(offset == 1U);
    BOOST_REQUIRE(!client.append("s", "", Timeout, offset));
    log_page page;
    BOOST_REQUIRE(!client.read("s", 1, 0ms, page));
    BOOST_REQUIRE(page.records.size() == 2U);
    BOOST_TEST(page.records[0].body == body);
    BOOST_TEST(page.records[1].body.empty());
    BOOST_TEST(page.next == 3U);
    BOOST_REQUIRE(!client.read("other", 1, 0ms, page));
    BOOST_TEST(page.records.empty());
}

// Guards against a reader that mistakes dropped records for an outage and waits forever.
BOOST_AUTO_TEST_CASE(reportsTheRetainedRangeBelowIt)
{
    log_server server;
    http_platform_log client({.url = server.url()});
    std::uint64_t offset = 0;
    for (int i = 0; i < 3; ++i) {
        BOOST_REQUIRE(!client.append("s", "x", Timeout, offset));
    }
    server.log().dropBelow("s", 3);
    log_page page;
    BOOST_TEST((client.read("s", 1, 0ms, page) == platform_error::belowRetention));
    BOOST_TEST(page.first == 3U);
    BOOST_REQUIRE(!client.read("s", 3, 0ms, page));
    BOOST_TEST(page.records.size() == 1U);
}

// Guards against a change that is applied twice: an append that may have taken effect must not be reported as one that did not.
BOOST_AUTO_TEST_CASE(distinguishesALostResponseFromARefusal)
{
    log_server server;
    http_platform_log client({.url = server.url()});
    std::uint64_t offset = 0;
    log_page page;
    server.setFaults({.isDown = true});
    BOOST_TEST((client.append("s", "x", Timeout, offset) == platform_error::unavailable));
    server.setFaults({.lostResponses = 1});
    BOOST_TEST((client.append("s", "x", Timeout, offset) == platform_error::responseLost));
    BOOST_REQUIRE(!client.read("s", 1, 0ms, page));
    BOOST_TEST(page.records.size() == 1U);
    http_platform_log nobody({.url = "http://127.0.0.1:1"});
    BOOST_TEST((nobody.append("s", "x", Timeout, offset) == platform_error::unavailable));
}

// Guards against a thread that blocks on a slow log, and against a response that exhausts the memory.
BOOST_AUTO_TEST_CASE(limitsTheTimeAndTheSizeOfResponses)
{
    log_server server;
    http_platform_log client({.url = server.url(), .readTimeout = 50ms, .responseLimit = 1000});
    std::uint64_t offset = 0;
    log_page page;
    server.setFaults({.delay = 300ms});
    const mono_time begun = mono_clock::now();
    BOOST_TEST((client.append("s", "x", 50ms, offset) == platform_error::responseLost));
    BOOST_TEST((client.read("s", 1, 0ms, page) == platform_error::responseLost));
    BOOST_TEST((mono_clock::now() - begun < 250ms));
    server.setFaults({});
    BOOST_REQUIRE(!client.append("s", std::string(2000, 'x'), Timeout, offset));
    BOOST_TEST((client.read("s", offset, 0ms, page) == platform_error::tooLarge));
}

// Guards against a read that keeps waiting after a record has arrived.
BOOST_AUTO_TEST_CASE(aWaitingReadReturnsWithTheFirstRecord)
{
    log_server server;
    http_platform_log reader({.url = server.url()});
    duty_thread writer("writer", [&server] {
        http_platform_log client({.url = server.url()});
        std::uint64_t ignored = 0;
        client.append("s", "x", Timeout, ignored);
    });
    log_page page;
    const mono_time begun = mono_clock::now();
    BOOST_REQUIRE(!reader.read("s", 1, 5s, page));
    BOOST_TEST(page.records.size() == 1U);
    BOOST_TEST((mono_clock::now() - begun < 2s));
}

BOOST_AUTO_TEST_SUITE_END()
