#include "config/config_error.h"
#include "config/config_publisher.h"
#include "platform/http_platform_log.h"
#include "platform/memory_platform_log.h"
#include "support/config_stream.h"
#include "support/faulty_log.h"
#include "support/log_server.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

config_publisher_settings settingsOf(const std::string &author)
{
    config_publisher_settings settings;
    settings.author = author;
    settings.timeout = 1s;
    settings.retryLimit = 100ms;
    return settings;
}

std::size_t recordCount(platform_log &log)
{
    log_page page;
    BOOST_REQUIRE(!log.read(TestStream, 1, 0ms, page));
    return page.records.size();
}

} // namespace

BOOST_AUTO_TEST_SUITE(config_publisher_test)

// Guards against two operators who are both told that their concurrent changes of one file were accepted.
BOOST_AUTO_TEST_CASE(oneOfTwoRacingOperatorsGetsTheConflict)
{
    memory_platform_log log;
    config_publisher ann(settingsOf("ann"), log);
    config_publisher bob(settingsOf("bob"), log);
    BOOST_REQUIRE(!ann.load());
    BOOST_REQUIRE(!bob.load());
    const publish_result won = ann.publish("a", "[kind x]\n", std::nullopt);
    BOOST_REQUIRE(!won.error);
    const publish_result lost = bob.publish("a", "[kind y]\n", std::nullopt);
    BOOST_TEST((lost.error == config_error::conflict));
    BOOST_TEST(lost.version == won.version);
    BOOST_TEST(lost.author == "ann");
    BOOST_TEST(!bob.publish("b", "[kind y]\n", std::nullopt).error);
    BOOST_TEST(!bob.publish("a", std::nullopt, std::nullopt).error);
    BOOST_TEST((bob.publish("a", std::nullopt, std::nullopt).error == config_error::absent));
}

// Guards against a change that is published twice or reported as failed if HTTP answers are lost or requests are duplicated.
BOOST_AUTO_TEST_CASE(lostAnswersAndDuplicatesAreHarmless)
{
    log_server server;
    http_platform_log client({.url = server.url()});
    config_publisher publisher(settingsOf("ann"), client);
    BOOST_REQUIRE(!publisher.load());
    server.setFaults({.lostResponses = 1});
    const publish_result first = publisher.publish("a", "[kind x]\n", std::nullopt);
    BOOST_TEST(!first.error);
    BOOST_TEST(first.version == 1U);
    server.setFaults({.droppedAppends = 2});
    const publish_result second = publisher.publish("a", "[kind y]\n", std::nullopt);
    BOOST_TEST(!second.error);
    server.setFaults({.duplicates = 1});
    const publish_result third = publisher.publish("a", "[kind z]\n", std::nullopt);
    BOOST_TEST(!third.error);
    BOOST_TEST(recordCount(server.log()) == 4U);
    BOOST_TEST(publisher.state().files().at("a").content == "[kind z]\n");
}

// Guards against reporting an outage, after which nothing was published, although the record may be on the log.
BOOST_AUTO_TEST_CASE(distinguishesAnOutageFromAnUnknownOutcome)
{
    memory_platform_log log;
    faulty_log broken(log);
    config_publisher publisher(settingsOf("ann"), broken);
    BOOST_REQUIRE(!publisher.load());
    broken.setFaults({.isDown = true});
    const mono_time begun = mono_clock::now();
    BOOST_TEST((publisher.publish("a", "[kind x]\n", std::nullopt).error == config_error::logUnavailable));
    BOOST_TEST((mono_clock::now() - begun < 2s));
    BOOST_TEST(recordCount(log) == 0U);
    config_publisher late(settingsOf("bob"), broken);
    BOOST_TEST((late.load() == config_error::logUnavailable));
    broken.setFaults({.droppedAppends = 1000});
    BOOST_TEST((publisher.publish("a", "[kind x]\n", std::nullopt).error == config_error::outcomeUnknown));
}

// Guards against an invalid file that is appended before it is rejected.
BOOST_AUTO_TEST_CASE(invalidFilesAreNotAppended)
{
    memory_platform_log log;
    config_publisher publisher(settingsOf("ann"), log);
    BOOST_REQUIRE(!publisher.load());
    const publish_result result = publisher.publish("a", "[kind x]\nfoo = 1\n", std::nullopt);
    BOOST_TEST((result.error == config_error::invalid));
    BOOST_TEST(result.problem.value().text() == "a:2: foo: unknown key");
    BOOST_TEST(recordCount(log) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
