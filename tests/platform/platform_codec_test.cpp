#include "core/route_table.h"
#include "platform/heartbeat_codec.h"
#include "platform/job_codec.h"
#include "platform/platform_log_codec.h"
#include "platform/route_codec.h"
#include "platform/run_codec.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <string>
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

// Guards against malformed heartbeats that are accepted.
BOOST_AUTO_TEST_CASE(refusesMalformedHeartbeats)
{
    const auto good = decodeHeartbeat("i-1", heartbeat().dump());
    BOOST_REQUIRE(good.has_value());
    BOOST_TEST(good->capacity.cpuMillis == 16000U);
    BOOST_TEST((good->endpointStart == 1700000000000ms));
    const json members = heartbeat();
    for (const auto &[name, value] : members.items()) {
        if (name == "Version" || name == "ColdRemainingMs" || name == "Labels" || name == "ClockMs") {
            continue; // The decoder ignores these.
        }
        json wrong = heartbeat();
        wrong[name] = json::array({true});
        BOOST_TEST(!decodeHeartbeat("i-1", wrong.dump()).has_value(), name);
        wrong.erase(name);
        BOOST_TEST((decodeHeartbeat("i-1", wrong.dump()).has_value() == (name == "born")), name);
    }
    json unknown = heartbeat();
    unknown["State"] = "asleep";
    BOOST_TEST(!decodeHeartbeat("i-1", unknown.dump()).has_value());
    BOOST_TEST(!decodeHeartbeat("i-1", "\xff\xfe{").has_value());
    BOOST_TEST(!decodeHeartbeat("", heartbeat().dump()).has_value());
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
    std::vector<keyed_record> records;
    std::uint64_t next = 0;
    bool more = true;
    BOOST_TEST(!decodeNewestRecords(R"({"items":[{"Key":"k","Value":"!","Offset":0}],"HasMore":false,"EndOffset":6})", records, next, more));
    records.clear();
    BOOST_REQUIRE(decodeNewestRecords(encodeNewestRecords({{"k", "v", 4}}, 7), records, next, more));
    BOOST_TEST(records.at(0).value == "v");
    BOOST_TEST(next == 7U);
    BOOST_TEST(!more);
}

BOOST_AUTO_TEST_SUITE_END()
