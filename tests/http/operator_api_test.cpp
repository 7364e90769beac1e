#include "http/raw_connection.h"
#include "http/scripted_entry.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <system_error>

using namespace teaselward;
using nlohmann::json;

namespace
{

front_end_settings settingsWithToken()
{
    auto settings = scripted_entry::defaultSettings();
    settings.adminToken = "correct horse";
    return settings;
}

// Script that answers status requests with a fixed status.
scripted_entry::script statusScript(const entry_status &status)
{
    return [status](const entry_event &event, front_end &front) {
        if (const auto *requested = std::get_if<status_requested>(&event)) {
            front.post(reply_status{requested->request, status});
        } else if (const auto *cancelled = std::get_if<job_cancelled>(&event)) {
            reply_job reply;
            reply.request = cancelled->request;
            reply.answer.state = job_state::failed;
            reply.answer.why = reason::cancelled;
            reply.answer.notRun = true;
            front.post(std::move(reply));
        }
    };
}

entry_status sampleStatus()
{
    entry_status status;
    status.self = {{0xffffffffffffffffU}, "10.0.0.1:7001", "zone-a"};
    status.rulesOffset = 12;
    status.runningJobs = 3;
    status.keptAnswers = 4;
    status.peers = {{{5}, "10.0.0.2:7001", "zone-b"}};
    endpoint_status endpoint;
    endpoint.info = {{6}, "10.0.1.1:8080", "zone-c", 8, 64, {"check"}, false};
    endpoint.health = endpoint_health::failing;
    endpoint.why = "12 of 12 tasks failed";
    endpoint.credits = 2;
    status.endpoints = {endpoint};
    status.queues = {{"check", "por\"tal\n", 7, 8, 9, 10}};
    return status;
}

} // namespace

BOOST_AUTO_TEST_SUITE(operator_api_test)

// Guards against operator requests without authorization.
BOOST_AUTO_TEST_CASE(requiresTheTokenExceptForTheLoadBalancer)
{
    scripted_entry entry(statusScript(sampleStatus()), settingsWithToken());
    const std::string address = entry.operatorAddress();
    for (const std::string path : {"/v1/status", "/metrics", "/unknown"}) {
        for (const std::string header : {"",
                                         "Authorization: Bearer wrong\r\n",
                                         "Authorization: Bearer correct hors\r\n",
                                         "Authorization: Bearer correct horse2\r\n",
                                         "Authorization: Basic correct horse\r\n",
                                         "Authorization: Bearer \r\n",
                                         "Authorization: correct horse\r\n"}) {
            const raw_response response = request(address, "GET", path, "", header);
            BOOST_TEST(response.status == 401, path << " " << header);
            BOOST_TEST(json::parse(response.body)["reason"] == "unauthorized");
        }
    }
    BOOST_TEST(request(address, "POST", "/v1/drain").status == 401);
    BOOST_TEST(request(address, "POST", "/v1/jobs/" + validTicket() + "/cancel").status == 401);
    BOOST_TEST(entry.eventCount() == 0);
    BOOST_TEST(request(address, "GET", "/v1/status", "", "Authorization: Bearer correct horse\r\n").status == 200);
    BOOST_TEST(request(address, "GET", "/healthz").status == 200);
    BOOST_TEST(request(address, "GET", "/readyz").status == 200);
}

// Guards against an operators' listener without a token on an address that other machines can reach.
BOOST_AUTO_TEST_CASE(refusesToStartWithoutATokenOnAnOpenAddress)
{
    auto settings = scripted_entry::defaultSettings();
    settings.adminListen = "0.0.0.0:0";
    null_logger log;
    bounded_ring<entry_event> events(1);
    BOOST_CHECK_THROW(front_end(settings, events, log), std::system_error);
    settings.adminToken = "token";
    BOOST_CHECK_NO_THROW(front_end(settings, events, log));
}

// Guards against a start that succeeds although an address is invalid or in use.
BOOST_AUTO_TEST_CASE(refusesToStartOnABadAddress)
{
    scripted_entry entry(echoScript());
    null_logger log;
    bounded_ring<entry_event> events(1);
    for (const std::string &address : {std::string("localhost:80"), std::string("127.0.0.1"), std::string("127.0.0.1:70000"), std::string(), entry.address()}) {
        auto settings = scripted_entry::defaultSettings();
        settings.listen = address;
        BOOST_CHECK_THROW(front_end(settings, events, log), std::system_error);
        settings = scripted_entry::defaultSettings();
        settings.adminListen = address;
        if (!address.empty()) {
            BOOST_CHECK_THROW(front_end(settings, events, log), std::system_error);
        }
    }
}

// Guards against a load balancer that keeps sending callers to an entry that refuses them.
BOOST_AUTO_TEST_CASE(isReadyOnlyWithRulesAndWhileNotDraining)
{
    const auto readiness = [](const entry_status &status) {
        scripted_entry entry(statusScript(status));
        return request(entry.operatorAddress(), "GET", "/readyz").status;
    };
    entry_status status = sampleStatus();
    BOOST_TEST(readiness(status) == 200);
    status.rulesOffset = 0;
    BOOST_TEST(readiness(status) == 503);
    status = sampleStatus();
    status.draining = true;
    BOOST_TEST(readiness(status) == 503);
}

// Guards against a liveness check that depends on the decision thread, so that a busy process would be killed.
BOOST_AUTO_TEST_CASE(isAliveWithoutTheDecisionThread)
{
    scripted_entry entry({}, scripted_entry::defaultSettings(), 1);
    BOOST_TEST(request(entry.operatorAddress(), "GET", "/healthz").status == 200);
}

// Guards against status fields that are missing or lose digits.
BOOST_AUTO_TEST_CASE(reportsTheCompleteStatus)
{
    scripted_entry entry(statusScript(sampleStatus()));
    const json body = json::parse(request(entry.operatorAddress(), "GET", "/v1/status").body);
    BOOST_TEST(body["entry"]["incarnation"] == "18446744073709551615");
    BOOST_TEST(body["rules_offset"] == 12);
    BOOST_TEST(body["running_jobs"] == 3);
    BOOST_TEST(body["kept_answers"] == 4);
    BOOST_TEST(body["peers"][0]["address"] == "10.0.0.2:7001");
    BOOST_TEST(body["endpoints"][0]["health"] == "failing");
    BOOST_TEST(body["endpoints"][0]["why"] == "12 of 12 tasks failed");
    BOOST_TEST(body["queues"][0]["queued"] == 7);
}

// Guards against metrics that a scraper cannot parse or that omit refusals.
BOOST_AUTO_TEST_CASE(exposesMetrics)
{
    scripted_entry entry(statusScript(sampleStatus()));
    request(entry.address(), "POST", "/v1/jobs", "no JSON");
    const raw_response response = request(entry.operatorAddress(), "GET", "/metrics");
    BOOST_TEST(response.headers.at("content-type") == "text/plain; version=0.0.4; charset=utf-8");
    const std::string &text = response.body;
    for (const std::string line : {"teaselward_request_seconds_count{listener=\"caller\",outcome=\"malformed\"} 1\n",
                                   "# TYPE teaselward_request_seconds summary\n",
                                   "teaselward_queued_tasks{kind=\"check\",team=\"por\\\"tal\\n\"} 7\n",
                                   "teaselward_endpoints{health=\"failing\"} 1\n",
                                   "teaselward_slot_credits 2\n",
                                   "teaselward_running_jobs 3\n"}) {
        BOOST_TEST(text.find(line) != std::string::npos, "missing " << line << " in " << text);
    }
}

// Guards against a drain that does not reach the decision thread or has no time limit.
BOOST_AUTO_TEST_CASE(startsADrain)
{
    scripted_entry entry;
    const std::string address = entry.operatorAddress();
    BOOST_TEST(request(address, "POST", "/v1/drain").status == 202);
    BOOST_TEST(request(address, "POST", "/v1/drain", R"({"bound_ms":1500})").status == 202);
    BOOST_TEST(request(address, "POST", "/v1/drain", R"({"bound_ms":"soon"})").status == 400);
    BOOST_TEST(request(address, "POST", "/v1/drain", R"({"bound_ms":18446744073709551615})").status == 400);
    const auto first = entry.events().tryPop();
    const auto second = entry.events().tryPop();
    BOOST_REQUIRE((first && second));
    BOOST_TEST((std::get<drain_started>(*first).bound == scripted_entry::defaultSettings().drainBound));
    BOOST_TEST((std::get<drain_started>(*second).bound == std::chrono::milliseconds(1500)));
    BOOST_TEST(!entry.events().tryPop().has_value());
}

// Guards against a cancellation by an operator whose answer goes to a caller's request with the same number.
BOOST_AUTO_TEST_CASE(cancelsAJob)
{
    scripted_entry entry(statusScript(sampleStatus()));
    for (const std::string &address : {entry.operatorAddress(), entry.address()}) {
        const raw_response response = request(address, "POST", "/v1/jobs/" + validTicket() + "/cancel");
        BOOST_TEST(response.status == 409);
        BOOST_TEST(json::parse(response.body)["reason"] == "cancelled");
        BOOST_TEST(json::parse(response.body)["not_run"] == true);
    }
}

BOOST_AUTO_TEST_SUITE_END()
