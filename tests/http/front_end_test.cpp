#include "http/front_end.h"

#include "http/raw_connection.h"
#include "http/scripted_entry.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <set>

using namespace teaselward;
using nlohmann::json;

BOOST_AUTO_TEST_SUITE(front_end_test)

// Guards against tickets that are lost, issued twice or not accepted afterwards.
BOOST_AUTO_TEST_CASE(issuesAsManyTicketsAsAsked)
{
    scripted_entry entry(echoScript());
    const raw_response response = request(entry.address(), "POST", "/v1/tickets", R"({"count":3})");
    BOOST_TEST(response.status == 200);
    const json tickets = json::parse(response.body)["tickets"];
    BOOST_TEST(std::set<std::string>(tickets.begin(), tickets.end()).size() == 3);
    BOOST_TEST(request(entry.address(), "POST", "/v1/jobs", submissionBody(tickets[2], {"a"})).status == 200);
}

// Guards against results that are lost, reordered or altered.
BOOST_AUTO_TEST_CASE(returnsAllResultsInOrder)
{
    scripted_entry entry(echoScript());
    const std::vector<std::string> tasks = {"first", "", "\"quoted\"\n\t\\", "\xe2\x82\xac", std::string("nul\0byte", 8)};
    const raw_response response = request(entry.address(), "POST", "/v1/jobs", submissionBody(validTicket(), tasks));
    BOOST_TEST(response.status == 200);
    const json body = json::parse(response.body);
    BOOST_TEST(body["state"] == "complete");
    BOOST_TEST(body["tasks"] == 5);
    BOOST_TEST((body["results"].get<std::vector<std::string>>() == tasks));
}

// Guards against a query for a running job that is answered as if the job had ended.
BOOST_AUTO_TEST_CASE(reportsARunningJob)
{
    scripted_entry entry(echoScript());
    const raw_response response = request(entry.address(), "GET", "/v1/jobs/" + validTicket() + "?wait_ms=10");
    BOOST_TEST(response.status == 202);
    BOOST_TEST(json::parse(response.body)["state"] == "running");
}

// Guards against a keep-alive connection that is closed or returns wrong answers after the first request.
BOOST_AUTO_TEST_CASE(servesManyRequestsOnOneConnection)
{
    scripted_entry entry(echoScript());
    raw_connection connection(entry.address());
    for (int i = 0; i < 50; ++i) {
        BOOST_REQUIRE(connection.sendRequest("POST", "/v1/jobs", submissionBody(validTicket(), {std::to_string(i)})));
        const auto response = connection.read();
        BOOST_REQUIRE(response.has_value());
        BOOST_TEST(json::parse(response->body)["results"][0] == std::to_string(i));
    }
}

BOOST_AUTO_TEST_SUITE_END()
