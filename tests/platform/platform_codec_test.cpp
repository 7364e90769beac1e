#include "core/route_table.h"
#include "platform/heartbeat_codec.h"
#include "platform/job_codec.h"
#include "platform/json_reader.h"
#include "platform/platform_log_codec.h"
#include "platform/route_codec.h"
#include "platform/run_codec.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <string>
#include <utility>
#include <vector>

using namespace teaselward;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

json heartbeat()
{
    return {{"Service", "s"},
            {"Address", "10.0.0.1:80"},
            {"Zone", "z"},
            {"Version", "v1"},
            {"Slots", 8},
            {"State", "ready"},
            {"ColdRemainingMs", 0},
            {"Capacity", {{"Cpu", 16000}, {"MemMb", 32768}, {"Gpu", 0}}},
            {"Labels", {"a"}},
            {"ClockMs", 482113},
            {"born", 1700000000000},
            {"Sequence", 4}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(platform_codec_test)

// Guards against malformed heartbeats that are accepted, also if only a field that the agent does not use is malformed: such a heartbeat
// comes from another writer, and its sequence number would hide those of the endpoint.
BOOST_AUTO_TEST_CASE(refusesMalformedHeartbeats)
{
    const auto good = decodeHeartbeat("i-1", heartbeat().dump());
    BOOST_REQUIRE(good.has_value());
    BOOST_TEST(good->capacity.cpuMillis == 16000U);
    BOOST_TEST((good->endpointStart == 1700000000000ms));
    const json members = heartbeat();
    for (const auto &[name, value] : members.items()) {
        json wrong = heartbeat();
        wrong[name] = json::array({true});
        BOOST_TEST(!decodeHeartbeat("i-1", wrong.dump()).has_value(), name);
        wrong.erase(name);
        BOOST_TEST((decodeHeartbeat("i-1", wrong.dump()).has_value() == (name == "born")), name);
    }
    json draining = heartbeat();
    draining["State"] = "draining";
    draining["RemainingMs"] = 10000;
    BOOST_TEST(decodeHeartbeat("i-1", draining.dump()).value().isDraining);
    draining["RemainingMs"] = "10000";
    BOOST_TEST(!decodeHeartbeat("i-1", draining.dump()).has_value());
    json numbered = heartbeat();
    numbered["Labels"] = {"a", 1};
    BOOST_TEST(!decodeHeartbeat("i-1", numbered.dump()).has_value());
    json unknown = heartbeat();
    unknown["State"] = "asleep";
    BOOST_TEST(!decodeHeartbeat("i-1", unknown.dump()).has_value());
    BOOST_TEST(!decodeHeartbeat("i-1", "\xff\xfe{").has_value());
    BOOST_TEST(!decodeHeartbeat("", heartbeat().dump()).has_value());
}

// Guards against a heartbeat of another writer that names an address or a number which no endpoint can have, and so takes the place of the endpoint.
BOOST_AUTO_TEST_CASE(refusesHeartbeatsOutOfRange)
{
    const std::vector<std::pair<const char *, json>> wrongs = {
        {"Address", "10.0.0.1:99999"},
        {"Address", "10.0.0.1:0"},
        {"Address", "10.0.0.1"},
        {"Address", "10.0.0.1:80/path"},
        {"Address", "host.example:80"},
        {"born", std::uint64_t{1} << 63},
        {"born", 9'223'372'036'854'775'807},
        {"Sequence", std::numeric_limits<std::uint64_t>::max()},
        {"Slots", 4294967295},
        {"Slots", -1},
        {"Capacity", {{"Cpu", 4294967295}, {"MemMb", 32768}, {"Gpu", 0}}},
        {"Capacity", {{"Cpu", 16000}, {"MemMb", 4294967295}, {"Gpu", 0}}},
        {"Capacity", {{"Cpu", 16000}, {"MemMb", 32768}, {"Gpu", 4294967296}}},
    };
    for (const auto &[name, value] : wrongs) {
        json wrong = heartbeat();
        wrong[name] = value;
        BOOST_TEST(!decodeHeartbeat("i-1", wrong.dump()).has_value(), name << "=" << value.dump());
    }
    BOOST_TEST(!decodeHeartbeat("i-1\r\nX: 1", heartbeat().dump()).has_value());
    BOOST_TEST(!decodeHeartbeat(std::string(200, 'i'), heartbeat().dump()).has_value());
    std::string tooLarge = heartbeat().dump();
    tooLarge.replace(tooLarge.find("482113"), 6, "1e999");
    BOOST_TEST(!decodeHeartbeat("i-1", tooLarge).has_value());
}

// Guards against a deeply nested text that exhausts the memory or the stack of a small process.
BOOST_AUTO_TEST_CASE(refusesDeepNesting)
{
    constexpr std::size_t depth = 60000;
    const std::string deep = std::string(depth, '[') + std::string(depth, ']');
    std::string text = heartbeat().dump();
    text.insert(text.size() - 1, ",\"Extra\":" + deep);
    BOOST_TEST(!decodeHeartbeat("i-1", text).has_value());
    BOOST_TEST(!parseJson(std::string(depth, '{')).has_value());
    route_config config;
    BOOST_TEST(!decodeRoutes("{\"Version\":9,\"Routes\":" + deep + "}", config));
    list_runs_result lists;
    BOOST_TEST(!decodeLists("{\"ClockMs\":1,\"Running\":[],\"Finished\":" + deep + "}", lists));
    job_body body;
    BOOST_TEST(!decodeJob("{\"Spec\":\"x\",\"Steps\":" + deep + "}", body).empty());
    BOOST_TEST(parseJson(R"({"text":"[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[\"[[["})").has_value());
}

// Guards against durations and counts of a configuration that overflow once they are converted.
BOOST_AUTO_TEST_CASE(limitsTheNumbersOfARoute)
{
    const json route = {{"Name", "a"},
                        {"Host", "h"},
                        {"PathPrefix", "/x/"},
                        {"Service", "s"},
                        {"TimeoutMs", std::numeric_limits<std::uint64_t>::max()},
                        {"TargetCompletionMs", std::uint64_t{1} << 63},
                        {"Stretch", 1e300},
                        {"Priority", std::uint64_t{1} << 32},
                        {"Attempts", (std::uint64_t{1} << 32) + 1}};
    route_config config;
    BOOST_REQUIRE(decodeRoutes(json{{"Version", 9}, {"Routes", json::array({route})}}.dump(), config));
    BOOST_TEST((config.routes.at(0).timeLimit == 24h));
    BOOST_TEST((config.routes.at(0).target == 24h));
    BOOST_TEST(config.routes.at(0).stretch == 1000.0);
    BOOST_TEST(config.routes.at(0).priority == 100U);
    BOOST_TEST(config.routes.at(0).attempts == 1000U);
}

// Guards against rows whose numbers are cut to 32 bits and then name another run.
BOOST_AUTO_TEST_CASE(refusesRunNumbersOutOfRange)
{
    list_runs_result lists;
    BOOST_TEST(!decodeLists(R"({"ClockMs":1,"Running":[["a.0.0.1",4294967298,"",41]],"Finished":[]})", lists));
    BOOST_TEST(!decodeLists(R"({"ClockMs":18446744073709551615,"Running":[],"Finished":[]})", lists));
    list_runs_result percent;
    BOOST_REQUIRE(decodeLists(R"({"ClockMs":1,"Running":[["a.0.0.1",2,"",1e300]],"Finished":[]})", percent));
    BOOST_TEST(percent.running.at(0).percent == 100U);
}

// Guards against a job with unsupported options that is accepted and run without them.
BOOST_AUTO_TEST_CASE(recognizesUnsupportedSteps)
{
    job_body body;
    BOOST_TEST(decodeJob(R"({"Spec":"x","BestEffort":true,"Steps":[{"Count":2,"Cpu":500,"MemMb":64,"EstimateMs":90}]})", body).empty());
    BOOST_REQUIRE(body.steps.size() == 1U);
    BOOST_TEST(body.steps[0].isSupported);
    BOOST_TEST(body.steps[0].needs.cpuMillis == 500U);
    BOOST_TEST(body.bestEffort);
    for (const char *special : {R"("Gang":true)", R"("DependsOn":[0])", R"("Requires":"gpu")", R"("Persistent":true)", R"("MayMiss":1)"}) {
        const std::string text = std::string(R"({"Spec":"x","Steps":[{"Count":2,)") + special + "}]}";
        BOOST_TEST(decodeJob(text, body).empty());
        BOOST_TEST(!body.steps[0].isSupported, special);
    }
    BOOST_TEST(!decodeJob(R"({"Spec":"x","Steps":[{"Count":-1}]})", body).empty());
    BOOST_TEST(!decodeJob(R"({"Spec":"x","Steps":[7]})", body).empty());
    BOOST_TEST(!decodeJob("[]", body).empty());
    BOOST_TEST(!decodeJob(json{{"Spec", std::string(4001, 'x')}, {"Steps", {{{"Count", 1}}}}}.dump(), body).empty());
}

// Guards against a response that says "not run" of a job that may have run.
BOOST_AUTO_TEST_CASE(saysNotRunOnlyIfCertain)
{
    job_answer answer;
    answer.state = job_state::complete;
    BOOST_TEST(encodeJobAnswer(answer).status == 200U);
    answer = {.state = job_state::failed, .why = reason::taskFailed, .notRun = false, .results = {}, .retryAfter = {}};
    BOOST_TEST(encodeJobAnswer(answer).status == 200U);
    BOOST_TEST(encodeJobAnswer(answer).body == R"({"State":"failed"})");
    answer.why = reason::deadlineExceeded;
    BOOST_TEST(encodeJobAnswer(answer).status == 504U);
    answer.notRun = true;
    answer.retryAfter = 700ms;
    BOOST_TEST(encodeJobAnswer(answer).status == 503U);
    BOOST_TEST((encodeJobAnswer(answer).retryAfter == 700ms));
}

// Guards against malformed configurations that are accepted, and against a request that matches the wrong route.
BOOST_AUTO_TEST_CASE(findsTheLongestPrefixOfTheHost)
{
    const json routes
        = json::array({{{"Name", "a"}, {"Host", "h"}, {"PathPrefix", "/x/"}, {"Service", "s"}, {"Priority", 2}, {"Attempts", 3}, {"Stretch", 1.6}},
                       {{"Name", "b"}, {"Host", "h"}, {"PathPrefix", "/x/y/"}, {"Service", "s"}},
                       {{"Name", "c"}, {"Host", "other"}, {"PathPrefix", "/"}, {"Service", "s"}}});
    route_config config;
    BOOST_REQUIRE(decodeRoutes(json{{"Version", 9}, {"Routes", routes}, {"Unknown", 1}}.dump(), config));
    const route_table table(config);
    BOOST_TEST(table.version() == 9U);
    BOOST_TEST(table.find("h:80", "/x/1")->kind == "a");
    BOOST_TEST(table.find("h", "/x/1")->priority == 2U);
    BOOST_TEST(table.find("h", "/x/y/1")->kind == "b");
    BOOST_TEST((table.find("h", "/z") == nullptr));
    BOOST_TEST((table.find("nobody", "/x/1") == nullptr));
    BOOST_TEST(!decodeRoutes(R"({"Version":9})", config));
    BOOST_TEST(!decodeRoutes(R"({"Version":"9","Routes":[]})", config));
    BOOST_TEST(!decodeRoutes(R"({"Version":9,"Routes":[{"Name":"a"}]})", config));
}

// Guards against run names that the codec alters, and against malformed lists that are accepted.
BOOST_AUTO_TEST_CASE(decodesTheRunsOfAWorker)
{
    list_runs_result lists;
    BOOST_REQUIRE(decodeLists(
        R"({"ClockMs":482113,"born":5,"Running":[["5c0e7a21d94b36f8.0.0.17",2,"",41,3100]],"Finished":[[58,"5c0e7a21d94b36f8.0.0.9",1,"lapsed",""]]})", lists));
    BOOST_TEST((lists.running.at(0).id == run_id{"5c0e7a21d94b36f8", 17, 2}));
    BOOST_TEST(lists.running.at(0).percent == 41U);
    BOOST_TEST(lists.ended.at(0).number == 58U);
    BOOST_TEST((lists.ended.at(0).result == run_result::lapsed));
    BOOST_TEST((lists.endpointStart == 5ms));
    const json start = json::parse(encodeCall(start_run{.id = {"5c0e7a21d94b36f8", 17, 2}, .spec = "s", .leaseEnd = 486000ms, .fencingToken = 7}));
    BOOST_TEST(start.at("Task") == "5c0e7a21d94b36f8.0.0.17");
    BOOST_TEST(start.at("DeadlineMs") == 486000);
    for (const char *wrong :
         {"{}", R"({"ClockMs":1,"Running":[["x",1,"",1]],"Finished":[]})", R"({"ClockMs":1,"Running":[],"Finished":[[1,"a.0.0.1",1,"vanished",""]]})"}) {
        list_runs_result broken;
        BOOST_TEST(!decodeLists(wrong, broken), wrong);
    }
}

// Guards against responses of a worker that are mistaken for one another.
BOOST_AUTO_TEST_CASE(distinguishesTheResponsesOfAWorker)
{
    BOOST_TEST((decodeResult(200, "{}") == call_result::accepted));
    BOOST_TEST((decodeResult(409, R"({"Reason":"old"})") == call_result::outdated));
    BOOST_TEST((decodeResult(409, R"({"Reason":"late"})") == call_result::expired));
    BOOST_TEST((decodeResult(409, R"({"Reason":"news"})") == call_result::unanswered));
    BOOST_TEST((decodeResult(421, "") == call_result::endpointRestarted));
    BOOST_TEST((decodeResult(503, "") == call_result::unhealthy));
    BOOST_TEST((decodeResult(500, "") == call_result::unanswered));
}

// Guards against pages and records that are accepted although they are truncated or state more bytes than they have.
BOOST_AUTO_TEST_CASE(refusesTruncatedPages)
{
    log_page page;
    page.first = 1;
    page.next = 3;
    page.records = {{1, "a"}, {2, "bc"}};
    const std::string bytes = encodePage(page);
    log_page read;
    BOOST_REQUIRE(decodePage(bytes, 1, read));
    BOOST_TEST(read.records.at(1).body == "bc");
    BOOST_TEST(read.records.at(1).offset == 2U);
    BOOST_TEST(!decodePage(bytes.substr(0, bytes.size() - 1), 1, read));
    BOOST_TEST(!decodePage(bytes.substr(0, 12), 1, read));
    BOOST_TEST(!decodeKeyedRecord("", 1).has_value());
    BOOST_TEST(!decodeKeyedRecord("\x09key", 1).has_value());
    BOOST_TEST(decodeKeyedRecord("\x03keyvalue", 1)->value == "value");
    keyed_page newest;
    BOOST_REQUIRE(decodeNewestRecords(encodeNewestRecords({{"k", "v", 4}}, 7), newest));
    BOOST_TEST(newest.records.at(0).value == "v");
    BOOST_TEST(newest.next == 7U);
    BOOST_TEST(!newest.hasMore);
    BOOST_TEST(!decodeNewestRecords(R"({"items":[],"HasMore":false})", newest));
    BOOST_TEST(!decodeNewestRecords(R"({"items":{},"HasMore":false,"EndOffset":6})", newest));
}

// Guards against one odd record of another writer that makes the whole list unreadable, so that no later configuration is followed.
BOOST_AUTO_TEST_CASE(ignoresOddRecordsOfAList)
{
    for (const std::string odd : {R"({"Key":"k","Value":"!","Offset":0})",
                                  R"({"Key":7,"Value":"","Offset":0})",
                                  R"({"Key":"k","Value":"e30=","Offset":-1})",
                                  R"({"Key":"k"})",
                                  "[[[[[[[[]]]]]]]]",
                                  "null",
                                  "{\"Key\":\"\xff\xfe\",\"Value\":\"!\",\"Offset\":0}"}) {
        keyed_page page;
        const std::string text = R"({"items":[)" + odd + R"(,{"Key":"config","Value":"e30=","Offset":3}],"HasMore":true,"EndOffset":6})";
        BOOST_TEST(decodeNewestRecords(text, page), odd);
        BOOST_TEST(page.ignored == 1U);
        BOOST_REQUIRE(page.records.size() == 1U);
        BOOST_TEST(page.records[0].key == "config");
        BOOST_TEST(page.records[0].value == "{}");
        BOOST_TEST(page.lastKey == "config");
        BOOST_TEST(page.hasMore);
    }
}

BOOST_AUTO_TEST_SUITE_END()
