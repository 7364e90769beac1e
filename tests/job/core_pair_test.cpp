#include "job/core_pair.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;

BOOST_AUTO_TEST_SUITE(core_pair_test)

// Guards against an answer with missing or swapped results, and against more concurrent starts than the endpoint has slots.
BOOST_AUTO_TEST_CASE(aJobRunsFromTicketToAnswer)
{
    core_pair pair(3);
    const ticket source = pair.entry.issue();
    const auto request = pair.submit(pair.entry.jobFor(source, 20));
    BOOST_TEST(pair.calls.size() == 3U);
    std::size_t most = 0;
    while (!pair.calls.empty()) {
        most = std::max(most, pair.calls.size());
        pair.finishCall();
    }
    BOOST_TEST(most == 3U);
    const job_answer &answer = pair.replies.at(request);
    BOOST_TEST((answer.state == job_state::complete));
    BOOST_REQUIRE(answer.results.size() == 20U);
    for (std::size_t i = 0; i < 20; ++i) {
        BOOST_TEST(answer.results[i] == "result of payload " + std::to_string(i));
    }
}

// Guards against a second run of a job that its caller resubmits.
BOOST_AUTO_TEST_CASE(aResubmissionStartsNothingAndGetsTheSameAnswer)
{
    core_pair pair(2);
    const job_request job = pair.entry.jobFor(pair.entry.issue(), 5);
    const auto first = pair.submit(job);
    pair.finishCall();
    const auto second = pair.submit(job);
    while (!pair.calls.empty()) {
        pair.finishCall();
    }
    const auto third = pair.submit(job);
    for (const auto request : {first, second, third}) {
        BOOST_TEST((pair.replies.at(request).state == job_state::complete));
        BOOST_TEST(pair.replies.at(request).results == pair.replies.at(first).results);
    }
    BOOST_TEST(pair.started.size() == 5U);
    for (const auto &[index, count] : pair.started) {
        BOOST_TEST(count == 1);
    }
}

// Guards against a task that runs twice or is lost when the connection is lost during its run.
BOOST_AUTO_TEST_CASE(aLostConnectionNeitherRepeatsNorLosesTasks)
{
    core_pair pair(4);
    const auto request = pair.submit(pair.entry.jobFor(pair.entry.issue(), 6));
    pair.toEntry(agent_lost{.agent = {7}});
    pair.toAgent(entry_lost{.entry = pair.entry.settings.self.id});
    pair.finishCall();
    pair.toEntry(agent_joined{.info = core_pair::agentSettings(4).self, .credits = 0, .lease = std::chrono::seconds(2)});
    pair.toAgent(entry_joined{.info = pair.entry.settings.self});
    while (!pair.calls.empty()) {
        pair.finishCall();
    }
    BOOST_TEST((pair.replies.at(request).state == job_state::complete));
    BOOST_TEST(pair.started.size() == 6U);
    for (const auto &[index, count] : pair.started) {
        BOOST_TEST(count == 1);
    }
}

BOOST_AUTO_TEST_SUITE_END()
