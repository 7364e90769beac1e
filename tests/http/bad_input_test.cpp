#include "core/reason_text.h"
#include "http/raw_connection.h"
#include "http/scripted_entry.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <random>

using namespace teaselward;
using nlohmann::json;

namespace
{

/** Request that must be refused. */
struct bad_request {
    std::string what;
    std::string method;
    std::string path;
    std::string body;
    int status;
    reason why;
};

std::string submission(const std::string &fields)
{
    return "{" + fields + R"(,"ticket":")" + validTicket() + R"("})";
}

std::vector<bad_request> badRequests()
{
    const std::string ticket = validTicket();
    const std::string complete = R"("team":"t","kind":"k","tasks":["a"])";
    std::string altered = ticket;
    altered[10] = altered[10] == 'A' ? 'B' : 'A';
    return {
        {"no JSON", "POST", "/v1/jobs", "hello", 400, reason::malformed},
        {"empty body", "POST", "/v1/jobs", "", 400, reason::malformed},
        {"truncated JSON", "POST", "/v1/jobs", R"({"ticket":"a)", 400, reason::malformed},
        {"two values", "POST", "/v1/tickets", R"({"count":1}{"count":1})", 400, reason::malformed},
        {"array instead of an object", "POST", "/v1/jobs", "[1]", 400, reason::malformed},
        {"nested object", "POST", "/v1/jobs", R"({"ticket":{}})", 400, reason::malformed},
        {"nested array", "POST", "/v1/jobs", submission(R"("team":"t","kind":"k","tasks":[["a"]])"), 400, reason::malformed},
        {"deeply nested arrays", "POST", "/v1/jobs", std::string(1U << 20U, '['), 400, reason::malformed},
        {"invalid UTF-8", "POST", "/v1/jobs", "{\"team\":\"\xff\xfe\"}", 400, reason::malformed},
        {"number as a payload", "POST", "/v1/jobs", submission(R"("team":"t","kind":"k","tasks":[1])"), 400, reason::malformed},
        {"null as a payload", "POST", "/v1/jobs", submission(R"("team":"t","kind":"k","tasks":[null])"), 400, reason::malformed},
        {"text as a list of tasks", "POST", "/v1/jobs", submission(R"("team":"t","kind":"k","tasks":"a")"), 400, reason::malformed},
        {"no task", "POST", "/v1/jobs", submission(R"("team":"t","kind":"k","tasks":[])"), 400, reason::malformed},
        {"missing tasks", "POST", "/v1/jobs", submission(R"("team":"t","kind":"k")"), 400, reason::malformed},
        {"missing kind", "POST", "/v1/jobs", submission(R"("team":"t","tasks":["a"])"), 400, reason::malformed},
        {"missing team", "POST", "/v1/jobs", submission(R"("kind":"k","tasks":["a"])"), 400, reason::malformed},
        {"missing ticket", "POST", "/v1/jobs", "{" + complete + "}", 400, reason::malformed},
        {"empty kind", "POST", "/v1/jobs", submission(R"("team":"t","kind":"","tasks":["a"])"), 400, reason::malformed},
        {"long team", "POST", "/v1/jobs", submission(R"("kind":"k","tasks":["a"],"team":")" + std::string(300, 't') + "\""), 400, reason::malformed},
        {"unknown field", "POST", "/v1/jobs", submission(complete + R"(,"colour":"red")"), 400, reason::malformed},
        {"repeated field", "POST", "/v1/jobs", submission(complete + R"(,"kind":"other")"), 400, reason::malformed},
        {"negative time limit", "POST", "/v1/jobs", submission(complete + R"(,"time_limit_ms":-1)"), 400, reason::malformed},
        {"fraction as a time limit", "POST", "/v1/jobs", submission(complete + R"(,"time_limit_ms":1.5)"), 400, reason::malformed},
        {"time limit above 64 bits", "POST", "/v1/jobs", submission(complete + R"(,"time_limit_ms":99999999999999999999)"), 400, reason::malformed},
        {"long time limit", "POST", "/v1/jobs", submission(complete + R"(,"time_limit_ms":18446744073709551615)"), 400, reason::malformed},
        {"too many tasks", "POST", "/v1/jobs", submissionBody(ticket, std::vector<std::string>(1001, "a")), 400, reason::malformed},
        {"too large body", "POST", "/v1/jobs", submissionBody(ticket, {std::string(5U << 20U, 'a')}), 413, reason::tooLarge},
        {"altered ticket", "POST", "/v1/jobs", submissionBody(altered, {"a"}), 400, reason::badTicket},
        {"truncated ticket", "POST", "/v1/jobs", submissionBody(ticket.substr(0, 40), {"a"}), 400, reason::badTicket},
        {"empty ticket", "POST", "/v1/jobs", submissionBody("", {"a"}), 400, reason::badTicket},
        {"no ticket at all", "GET", "/v1/jobs/x", "", 400, reason::badTicket},
        {"altered ticket in a query", "GET", "/v1/jobs/" + altered, "", 400, reason::badTicket},
        {"altered ticket in a cancellation", "POST", "/v1/jobs/" + altered + "/cancel", "", 400, reason::badTicket},
        {"wait that is no number", "GET", "/v1/jobs/" + ticket + "?wait_ms=soon", "", 400, reason::malformed},
        {"negative wait", "GET", "/v1/jobs/" + ticket + "?wait_ms=-1", "", 400, reason::malformed},
        {"long wait", "GET", "/v1/jobs/" + ticket + "?wait_ms=99999999999", "", 400, reason::malformed},
        {"no tickets", "POST", "/v1/tickets", R"({"count":0})", 400, reason::malformed},
        {"too many tickets", "POST", "/v1/tickets", R"({"count":1001})", 400, reason::malformed},
        {"very many tickets", "POST", "/v1/tickets", R"({"count":18446744073709551615})", 400, reason::malformed},
        {"text as a count", "POST", "/v1/tickets", R"({"count":"3"})", 400, reason::malformed},
        {"unknown path", "GET", "/v1/secrets", "", 404, reason::malformed},
        {"root", "GET", "/", "", 404, reason::malformed},
        {"empty ticket in the path", "GET", "/v1/jobs/", "", 404, reason::malformed},
        {"operators' path", "POST", "/v1/drain", "", 404, reason::malformed},
        {"path of no UTF-8", "GET", "/%ff%fe", "", 404, reason::malformed},
        {"wrong method for tickets", "GET", "/v1/tickets", "", 405, reason::malformed},
        {"wrong method for jobs", "DELETE", "/v1/jobs", "", 405, reason::malformed},
        {"wrong method for a query", "PUT", "/v1/jobs/" + ticket, "", 405, reason::malformed},
        {"unknown method", "BREW", "/v1/jobs", "", 405, reason::malformed},
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(bad_input_test)

// Guards against invalid input that starts a task, gets an answer without a reason, or crashes the process.
BOOST_AUTO_TEST_CASE(refusesEachBadRequestWithItsReasonAndStartsNothing)
{
    scripted_entry entry(echoScript());
    for (const bad_request &bad : badRequests()) {
        const raw_response response = request(entry.address(), bad.method, bad.path, bad.body);
        BOOST_TEST(response.status == bad.status, bad.what << ": status " << response.status);
        const json body = json::parse(response.body);
        BOOST_TEST(body["state"] == "refused", bad.what);
        BOOST_TEST(body["reason"].get<std::string>() == reasonText(bad.why), bad.what << ": " << response.body);
        if (bad.path.find("wait_ms") == std::string::npos) {
            BOOST_TEST(body["not_run"] == true, bad.what);
        } else {
            // The refusal of an invalid query for a valid ticket proves nothing about the job of that ticket.
            BOOST_TEST(body["not_run"] == false, bad.what);
        }
    }
    BOOST_TEST(entry.eventCount() == 0);
    BOOST_TEST(request(entry.address(), "POST", "/v1/jobs", submissionBody(validTicket(), {"a"})).status == 200);
}

// Guards against a 405 without the list of allowed methods.
BOOST_AUTO_TEST_CASE(namesTheAllowedMethods)
{
    scripted_entry entry(echoScript());
    BOOST_TEST(request(entry.address(), "GET", "/v1/jobs").headers["allow"] == "POST");
}

// Guards against a full ring that blocks the listener, and against a refusal that says "not run" although an earlier
// submission may run.
BOOST_AUTO_TEST_CASE(refusesRequestsWhileTheRingIsFull)
{
    scripted_entry entry({}, scripted_entry::defaultSettings(), 1);
    raw_connection waiting(entry.address());
    BOOST_REQUIRE(waiting.sendRequest("POST", "/v1/jobs", submissionBody(validTicket(1), {"a"})));
    // The ring holds one event, so a request is refused after the first event was posted.
    int status = 0;
    std::string body;
    for (int i = 0; i < 2 && status != 503; ++i) {
        raw_connection connection(entry.address());
        auto submission = json::parse(submissionBody(validTicket(2), {"a"}));
        submission["first_attempt"] = true;
        BOOST_REQUIRE(connection.sendRequest("POST", "/v1/jobs", submission.dump()));
        if (const auto response = connection.read(std::chrono::seconds(2))) {
            status = response->status;
            body = response->body;
            BOOST_TEST(response->headers.count("retry-after") == 1);
        }
    }
    BOOST_TEST(status == 503);
    BOOST_TEST(json::parse(body)["reason"] == "overloaded");
    BOOST_TEST(json::parse(body)["not_run"] == true);
    BOOST_TEST(json::parse(body)["retry_after_ms"].get<int>() > 0);
    const raw_response again = request(entry.address(), "POST", "/v1/jobs", submissionBody(validTicket(2), {"a"}));
    BOOST_TEST(again.status == 503);
    BOOST_TEST(json::parse(again.body)["not_run"] == false);
    // The job of the ticket may be running, so a refused query must not say "not run".
    const raw_response query = request(entry.address(), "GET", "/v1/jobs/" + validTicket(1));
    BOOST_TEST(query.status == 503);
    BOOST_TEST(json::parse(query.body)["not_run"] == false);
}

// Guards against incomplete requests that occupy connections forever or reach the decision thread.
BOOST_AUTO_TEST_CASE(closesHalfSentRequestsAfterTheIdleTimeout)
{
    auto settings = scripted_entry::defaultSettings();
    settings.idleTimeout = std::chrono::seconds(1);
    scripted_entry entry(echoScript(), settings);
    raw_connection header(entry.address());
    raw_connection body(entry.address());
    BOOST_TEST(header.send("POST /v1/jobs HTTP/1.1\r\nHost:"));
    BOOST_TEST(body.send("POST /v1/jobs HTTP/1.1\r\nHost: test\r\nContent-Length: 500\r\n\r\n{\"ticket\":"));
    BOOST_TEST(header.waitForClose());
    BOOST_TEST(body.waitForClose());
    BOOST_TEST(entry.eventCount() == 0);
}

// Guards against many concurrent bodies that exhaust the memory although each is within its limit.
BOOST_AUTO_TEST_CASE(limitsTheBytesOfAllBodies)
{
    auto settings = scripted_entry::defaultSettings();
    settings.bodyLimit = 1000;
    settings.bufferLimit = 2500;
    scripted_entry entry(echoScript(), settings);
    const std::string head = "POST /v1/jobs HTTP/1.1\r\nHost: test\r\nContent-Length: 900\r\n\r\n";
    const std::string part(800, ' ');
    std::vector<std::unique_ptr<raw_connection>> connections;
    for (int i = 0; i < 3; ++i) {
        connections.push_back(std::make_unique<raw_connection>(entry.address()));
        BOOST_REQUIRE(connections.back()->send(head + part));
    }
    // The listener may receive the three parts late; until then the next request may still fit.
    bool refused = false;
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!refused && std::chrono::steady_clock::now() < until) {
        const raw_response response = request(entry.address(), "POST", "/v1/jobs", std::string(900, ' '));
        refused = response.status == 503;
        if (refused) {
            BOOST_TEST(json::parse(response.body)["reason"] == "overloaded");
            BOOST_TEST(json::parse(response.body)["not_run"] == true);
        }
    }
    BOOST_TEST(refused);
    connections.clear();
    // The limit is available again once the connections have ended.
    bool accepted = false;
    while (!accepted && std::chrono::steady_clock::now() < until) {
        accepted = request(entry.address(), "POST", "/v1/jobs", std::string(900, ' ')).status == 400;
    }
    BOOST_TEST(accepted);
}

// Guards against a client that sends a large body before it receives its refusal.
BOOST_AUTO_TEST_CASE(refusesALargeBodyBeforeItIsSent)
{
    scripted_entry entry(echoScript());
    for (const std::string headers :
         {"Content-Length: 5000000\r\nExpect: 100-continue\r\n", "Content-Length: 18446744073709551615\r\n", "Content-Length: 50000000\r\n"}) {
        raw_connection connection(entry.address());
        BOOST_REQUIRE(connection.send("POST /v1/jobs HTTP/1.1\r\nHost: test\r\n" + headers + "\r\n"));
        const auto response = connection.read();
        BOOST_REQUIRE(response.has_value());
        BOOST_TEST((response->status == 413 || response->status == 400), headers << response->status);
    }
    BOOST_TEST(entry.eventCount() == 0);
}

// Guards against bytes that crash the parser or start a task. The seed is printed, so that a failure can be reproduced.
BOOST_AUTO_TEST_CASE(survivesRandomBytes)
{
    const auto seed = static_cast<std::uint32_t>(std::random_device{}());
    BOOST_TEST_MESSAGE("seed " << seed);
    std::mt19937 random(seed);
    const std::vector<std::string> parts = {"POST ",
                                            "GET ",
                                            "/v1/jobs",
                                            "/v1/tickets",
                                            " HTTP/1.1\r\n",
                                            "\r\n",
                                            "Content-Length: 20\r\n",
                                            "Transfer-Encoding: chunked\r\n",
                                            "{\"ticket\":\"",
                                            "\"tasks\":[",
                                            "[[",
                                            "\"",
                                            "}",
                                            "%00",
                                            "?wait_ms=",
                                            std::string(1, '\0'),
                                            "\xff",
                                            validTicket(),
                                            "ffffffffffffffff\r\n"};
    scripted_entry entry(echoScript());
    for (int i = 0; i < 300; ++i) {
        std::string bytes;
        while (bytes.size() < random() % 600) {
            if (random() % 2 == 0) {
                bytes += parts[random() % parts.size()];
            } else {
                bytes += static_cast<char>(random());
            }
        }
        raw_connection connection(entry.address());
        connection.send(bytes);
        if (random() % 8 == 0) {
            connection.read(std::chrono::milliseconds(20));
        }
    }
    // Random JSON texts inside a well-formed request reach the decoder.
    const std::string valid = submissionBody(validTicket(), {"a", "b"});
    for (int i = 0; i < 300; ++i) {
        std::string text = valid;
        for (std::uint32_t change = 0; change <= random() % 4; ++change) {
            text[random() % text.size()] = static_cast<char>(random());
        }
        const int status = request(entry.address(), "POST", "/v1/jobs", text).status;
        BOOST_TEST((status == 200 || status == 400), "seed " << seed << " round " << i << " status " << status);
    }
    BOOST_TEST(request(entry.address(), "POST", "/v1/jobs", valid).status == 200, "seed " << seed);
}

BOOST_AUTO_TEST_SUITE_END()
