#include "platform/heartbeat_codec.h"
#include "platform/job_codec.h"
#include "platform/platform_log_codec.h"
#include "platform/route_codec.h"
#include "platform/run_codec.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

using namespace teaselward;

namespace
{

using random_engine = std::mt19937;

constexpr int MutationsPerSeed = 6;
constexpr std::uint32_t Seeds = 20000;

constexpr std::array<std::string_view, 5> Texts = {
    R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z","Slots":8,"State":"ready","Capacity":{"Cpu":16000,"MemMb":32768,"Gpu":0},"born":17,"Sequence":4})",
    R"({"Version":9,"Routes":[{"Name":"a","Host":"h","PathPrefix":"/x/","Service":"s","TimeoutMs":900,"Priority":2,"Attempts":3,"Stretch":1.6}]})",
    R"({"ClockMs":482113,"born":5,"Running":[["5c0e.0.0.17",2,"",41,3100]],"Finished":[[58,"5c0e.0.0.9",1,"lapsed",""]]})",
    R"({"Spec":"x","BestEffort":true,"Steps":[{"Count":2,"Cpu":500,"MemMb":64,"EstimateMs":90}]})",
    R"({"items":[{"Key":"config","Value":"e30=","Offset":3}],"HasMore":true,"EndOffset":6})",
};

constexpr std::array<std::string_view, 14> Inserts = {
    "18446744073709551615",
    "-1",
    "1e308",
    "1e999",
    "4294967296",
    "null",
    "[[[[[[[[",
    "{\"a\":",
    "\"",
    "\xff\xfe",
    "\\u0000",
    "true",
    "]",
    "}",
};

std::size_t below(random_engine &random, std::size_t bound)
{
    return bound == 0 ? 0 : random() % bound;
}

// Inserts, removes, replaces or truncates a part of the text.
void mutate(std::string &text, random_engine &random)
{
    const std::size_t position = below(random, text.size());
    const std::size_t length = below(random, 12);
    switch (below(random, 5)) {
    case 0:
        text.insert(position, Inserts.at(below(random, Inserts.size())));
        break;
    case 1:
        text.erase(position, length);
        break;
    case 2:
        text.replace(position, std::min(length, text.size() - position), Inserts.at(below(random, Inserts.size())));
        break;
    case 3:
        if (!text.empty()) {
            text[position] = static_cast<char>(random());
        }
        break;
    default:
        text.resize(position);
        break;
    }
}

// Feeds a text to every decoder and checks the stated ranges of what is accepted.
void decodeAll(const std::string &text)
{
    if (const auto found = decodeHeartbeat("i-1", text)) {
        BOOST_REQUIRE(found->endpointStart.count() >= 0);
        BOOST_REQUIRE(found->slots <= 4096U);
        BOOST_REQUIRE(found->capacity.cpuMillis <= 16'000'000U);
        BOOST_REQUIRE(found->capacity.gpus <= 4096U);
        BOOST_REQUIRE(found->sequence <= std::uint64_t{1} << 53);
    }
    route_config config;
    if (decodeRoutes(text, config)) {
        for (const route &one : config.routes) {
            BOOST_REQUIRE((one.timeLimit >= std::chrono::milliseconds::zero() && one.timeLimit <= std::chrono::hours(24)));
            BOOST_REQUIRE((one.stretch >= 0 && one.stretch <= 1000));
        }
    }
    list_runs_result lists;
    if (decodeLists(text, lists)) {
        for (const run_progress &one : lists.running) {
            BOOST_REQUIRE(one.percent <= 100U);
        }
    }
    job_body body;
    decodeJob(text, body);
    keyed_page newest;
    decodeNewestRecords(text, newest);
    std::uint64_t offset = 0;
    decodeAppendResponse(text, offset);
    decodeBelowRetention(text, offset);
    std::vector<std::string> bodies;
    decodeRecords(text, bodies);
    log_page page;
    decodePage(text, 1, page);
    decodeKeyedRecord(text, 1);
    decodeResult(409, text);
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform_input_test)

// Guards against input from outside that ends the process, by an exception or by undefined behavior, or that is accepted out of range.
BOOST_AUTO_TEST_CASE(survivesMutatedInput)
{
    for (std::uint32_t seed = 1; seed <= Seeds; ++seed) {
        random_engine random(seed);
        std::string text(Texts.at(below(random, Texts.size())));
        for (std::size_t left = 1 + below(random, MutationsPerSeed); left > 0; --left) {
            mutate(text, random);
        }
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            BOOST_REQUIRE_NO_THROW(decodeAll(text));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
