#include "http/raw_connection.h"
#include "http/scripted_entry.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>
#include <random>
#include <thread>

using namespace teaselward;
using nlohmann::json;

namespace
{

// Answers a submission with its payloads.
void answer(front_end &front, const job_submitted &job)
{
    reply_job reply;
    reply.request = job.request;
    reply.answer.state = job_state::complete;
    reply.answer.results = job.job.payloads;
    front.post(std::move(reply));
}

// Reads the value of a metric without labels.
double metric(scripted_entry &entry, const std::string &name)
{
    const std::string text = request(entry.operatorAddress(), "GET", "/metrics").body;
    const auto at = text.find("\n" + name + " ");
    BOOST_REQUIRE(at != std::string::npos);
    return std::stod(text.substr(at + name.size() + 2));
}

// Waits until a metric has a value. Returns false if it does not within the time limit.
bool reaches(scripted_entry &entry, const std::string &name, double value)
{
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (std::chrono::steady_clock::now() < until) {
        if (metric(entry, name) == value) {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return false;
}

// Script that collects a number of submissions and then answers them in random order.
scripted_entry::script answersInRandomOrder(std::size_t count, std::uint32_t seed)
{
    return [count, random = std::mt19937(seed), kept = std::vector<job_submitted>()](const entry_event &event, front_end &front) mutable {
        if (const auto *job = std::get_if<job_submitted>(&event)) {
            kept.push_back(*job);
        } else {
            echoScript()(event, front);
        }
        if (kept.size() == count) {
            std::shuffle(kept.begin(), kept.end(), random);
            for (const job_submitted &job : kept) {
                answer(front, job);
            }
            kept.clear();
        }
    };
}

} // namespace

BOOST_AUTO_TEST_SUITE(pending_requests_test)

// Guards against a caller that gets the results of another caller's job.
BOOST_AUTO_TEST_CASE(eachCallerGetsItsOwnAnswer)
{
    constexpr std::size_t count = 200;
    const auto seed = static_cast<std::uint32_t>(std::random_device{}());
    BOOST_TEST_MESSAGE("seed " << seed);
    scripted_entry entry(answersInRandomOrder(count, seed));
    std::vector<std::unique_ptr<raw_connection>> connections;
    for (std::size_t round = 0; round < 3; ++round) {
        for (std::size_t i = 0; i < count; ++i) {
            if (round == 0) {
                connections.push_back(std::make_unique<raw_connection>(entry.address()));
            }
            BOOST_REQUIRE(connections[i]->sendRequest("POST", "/v1/jobs", submissionBody(validTicket(i), {std::to_string(round * 1000 + i)})));
        }
        for (std::size_t i = 0; i < count; ++i) {
            const auto response = connections[i]->read();
            BOOST_REQUIRE(response.has_value());
            BOOST_TEST(json::parse(response->body)["results"][0] == std::to_string(round * 1000 + i), "seed " << seed);
        }
    }
}

// Guards against pending requests that each occupy a thread: far more wait at once than a process should have threads.
BOOST_AUTO_TEST_CASE(waitingRequestsHoldNoThread)
{
    constexpr std::size_t count = 500;
    scripted_entry entry(answersInRandomOrder(count, 1));
    const auto threads = [] {
        return std::distance(std::filesystem::directory_iterator("/proc/self/task"), std::filesystem::directory_iterator());
    };
    const auto before = threads();
    std::vector<std::unique_ptr<raw_connection>> connections;
    for (std::size_t i = 0; i + 1 < count; ++i) {
        connections.push_back(std::make_unique<raw_connection>(entry.address()));
        BOOST_REQUIRE(connections.back()->sendRequest("POST", "/v1/jobs", submissionBody(validTicket(i), {"a"})));
    }
    BOOST_TEST(request(entry.address(), "GET", "/v1/jobs/" + validTicket(1)).status == 202);
    BOOST_TEST(threads() == before);
    connections.push_back(std::make_unique<raw_connection>(entry.address()));
    BOOST_REQUIRE(connections.back()->sendRequest("POST", "/v1/jobs", submissionBody(validTicket(count), {"a"})));
    for (const auto &connection : connections) {
        const auto response = connection->read();
        BOOST_TEST((response && response->status == 200));
    }
}

// Guards against a closed connection that leaks, ends the job, or delivers its answer on the next connection.
BOOST_AUTO_TEST_CASE(dropsTheAnswerOfAClosedConnection)
{
    constexpr std::size_t count = 20;
    scripted_entry entry(answersInRandomOrder(count, 2));
    for (std::size_t i = 0; i + 1 < count; ++i) {
        raw_connection closed(entry.address());
        BOOST_REQUIRE(closed.sendRequest("POST", "/v1/jobs", submissionBody(validTicket(i), {"dropped"})));
    }
    raw_connection open(entry.address());
    BOOST_REQUIRE(open.sendRequest("POST", "/v1/jobs", submissionBody(validTicket(count), {"kept"})));
    const auto response = open.read();
    BOOST_REQUIRE(response.has_value());
    BOOST_TEST(json::parse(response->body)["results"][0] == "kept");
    BOOST_TEST(entry.eventCount() >= static_cast<int>(count));
    BOOST_TEST(reaches(entry, "teaselward_answers_dropped_total", count - 1));
    // All closed connections end once their answers have arrived; only the open one remains.
    BOOST_TEST(reaches(entry, "teaselward_connections{listener=\"caller\"}", 1));
}

// Guards against a second answer with the same number that reaches another request or crashes the reply thread.
BOOST_AUTO_TEST_CASE(ignoresAnswersThatNoRequestWaitsFor)
{
    scripted_entry entry([](const entry_event &event, front_end &front) {
        echoScript()(event, front);
        if (const auto *job = std::get_if<job_submitted>(&event)) {
            answer(front, *job);
            job_submitted other = *job;
            other.request.number += 1000000;
            answer(front, other);
        }
    });
    raw_connection connection(entry.address());
    for (int i = 0; i < 10; ++i) {
        BOOST_REQUIRE(connection.sendRequest("POST", "/v1/jobs", submissionBody(validTicket(), {std::to_string(i)})));
        const auto response = connection.read();
        BOOST_REQUIRE(response.has_value());
        BOOST_TEST(json::parse(response->body)["results"][0] == std::to_string(i));
    }
    BOOST_TEST(reaches(entry, "teaselward_answers_unmatched_total", 20));
}

// Guards against lost answers or a deadlock while the ring of answers is full.
BOOST_AUTO_TEST_CASE(aFullRingOfAnswersLosesNone)
{
    constexpr std::size_t count = 100;
    auto settings = scripted_entry::defaultSettings();
    settings.ringCapacity = 1;
    scripted_entry entry(answersInRandomOrder(count, 3), settings);
    std::vector<std::unique_ptr<raw_connection>> connections;
    for (std::size_t i = 0; i < count; ++i) {
        connections.push_back(std::make_unique<raw_connection>(entry.address()));
        BOOST_REQUIRE(connections.back()->sendRequest("POST", "/v1/jobs", submissionBody(validTicket(i), {std::to_string(i)})));
    }
    for (std::size_t i = 0; i < count; ++i) {
        const auto response = connections[i]->read();
        BOOST_REQUIRE(response.has_value());
        BOOST_TEST(json::parse(response->body)["results"][0] == std::to_string(i));
    }
}

// Guards against a stop that drops waiting callers or reports "not run" although the decision thread has accepted their jobs.
BOOST_AUTO_TEST_CASE(answersWaitingRequestsWhenItStops)
{
    scripted_entry entry; // Answers nothing.
    raw_connection job(entry.address());
    raw_connection tickets(entry.address());
    raw_connection query(entry.address());
    BOOST_REQUIRE(job.sendRequest("POST", "/v1/jobs", submissionBody(validTicket(), {"a"})));
    BOOST_REQUIRE(tickets.sendRequest("POST", "/v1/tickets", ""));
    BOOST_REQUIRE(query.sendRequest("GET", "/v1/jobs/" + validTicket() + "?wait_ms=1000", ""));
    for (int i = 0; i < 3; ++i) {
        BOOST_REQUIRE(entry.events().popUntil(mono_clock::now() + std::chrono::seconds(20)).has_value());
    }
    entry.front().stop();
    const auto jobResponse = job.read();
    const auto ticketsResponse = tickets.read();
    const auto queryResponse = query.read();
    BOOST_REQUIRE((jobResponse && ticketsResponse && queryResponse));
    BOOST_TEST(jobResponse->status == 502);
    BOOST_TEST(json::parse(jobResponse->body)["reason"] == "outcome_unknown");
    BOOST_TEST(json::parse(jobResponse->body)["not_run"] == false);
    BOOST_TEST(json::parse(ticketsResponse->body)["reason"] == "draining");
    BOOST_TEST(json::parse(ticketsResponse->body)["not_run"] == true);
    BOOST_TEST(json::parse(queryResponse->body)["not_run"] == false);
    BOOST_TEST(!entry.front().post(reply_job{}));
}

// Guards against losing answers that were posted before the stop.
BOOST_AUTO_TEST_CASE(sendsAnswersThatWereHandedOverBeforeItStops)
{
    scripted_entry entry;
    std::vector<std::unique_ptr<raw_connection>> connections;
    for (int i = 0; i < 20; ++i) {
        connections.push_back(std::make_unique<raw_connection>(entry.address()));
        BOOST_REQUIRE(connections.back()->sendRequest("POST", "/v1/jobs", submissionBody(validTicket(), {std::string(100000, 'x')})));
    }
    for (int i = 0; i < 20; ++i) {
        const auto event = entry.events().popUntil(mono_clock::now() + std::chrono::seconds(20));
        BOOST_REQUIRE(event.has_value());
        answer(entry.front(), std::get<job_submitted>(*event));
    }
    entry.front().stop();
    for (const auto &connection : connections) {
        const auto response = connection->read();
        BOOST_TEST((response && response->status == 200));
    }
}

BOOST_AUTO_TEST_SUITE_END()
