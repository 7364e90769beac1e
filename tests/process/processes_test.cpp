#include "process/deployment.h"
#include "process/http_caller.h"

#include "base/duty_thread.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <thread>

using namespace teaselward;
using namespace teaselward::testing;

namespace
{

constexpr int TaskRunTimeMs = 400;
constexpr std::chrono::milliseconds SignalDelay{150}; // From the request to the signal; shorter than a task, so that tasks are running.

nlohmann::json job(const std::string &ticket, int tasks)
{
    nlohmann::json payloads = nlohmann::json::array();
    for (int i = 0; i < tasks; ++i) {
        payloads.push_back("payload " + std::to_string(i));
    }
    return {{"ticket", ticket}, {"team", "tests"}, {"kind", "check"}, {"time_limit_ms", 30000}, {"tasks", payloads}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(processes_test)

// Guards against jobs that are served only while all parts share one process.
BOOST_AUTO_TEST_CASE(separateProcessesServeAJob)
{
    deployment system(2, 2, TaskRunTimeMs);
    const std::string ticket = system.ticket(0);
    const auto first = post(system.callerUrl(0) + "/v1/jobs", job(ticket, 6));
    BOOST_TEST(first.body.at("state") == "complete");
    BOOST_TEST(first.body.at("results").at(5) == "PAYLOAD 5");
    const auto again = post(system.callerUrl(1) + "/v1/jobs", job(ticket, 6));
    BOOST_TEST(again.body == first.body);
}

// Guards against a shutdown that aborts a request in progress, or that ends with an error status.
BOOST_AUTO_TEST_CASE(entryDrainsOnSigterm)
{
    deployment system(1, 1, TaskRunTimeMs);
    const std::string ticket = system.ticket(0);
    json_response reply;
    {
        duty_thread caller("caller", [&] {
            reply = post(system.callerUrl(0) + "/v1/jobs", job(ticket, 4));
        });
        std::this_thread::sleep_for(SignalDelay);
        system.entry(0).signal(SIGTERM);
    }
    BOOST_TEST(system.entry(0).wait() == 0);
    // On a slow machine the signal may arrive before the job. The job must then be refused with not_run.
    const bool refused = reply.body.at("state") == "refused" && reply.body.at("not_run") == true;
    BOOST_TEST((reply.body.at("state") == "complete" || refused));
}

// Guards against an agent that drops tasks in progress on shutdown, or that never ends.
BOOST_AUTO_TEST_CASE(agentDrainsOnSigterm)
{
    deployment system(1, 2, TaskRunTimeMs);
    const std::string ticket = system.ticket(0);
    json_response reply;
    {
        duty_thread caller("caller", [&] {
            reply = post(system.callerUrl(0) + "/v1/jobs", job(ticket, 12));
        });
        std::this_thread::sleep_for(SignalDelay);
        system.agent(0).signal(SIGTERM);
    }
    BOOST_TEST(system.agent(0).wait() == 0);
    BOOST_TEST(reply.body.at("state") == "complete");
}

// Guards against a partial answer, or a false not_run, for a job whose agent was killed.
BOOST_AUTO_TEST_CASE(killedAgentLeavesACompleteAnswer)
{
    deployment system(1, 2, TaskRunTimeMs);
    const std::string ticket = system.ticket(0);
    json_response reply;
    {
        duty_thread caller("caller", [&] {
            auto request = job(ticket, 8);
            request["time_limit_ms"] = 6000;
            reply = post(system.callerUrl(0) + "/v1/jobs", request);
        });
        std::this_thread::sleep_for(SignalDelay);
        system.agent(0).signal(SIGKILL);
    }
    const std::string state = reply.body.at("state");
    BOOST_TEST((state == "complete" || state == "failed"));
    if (state == "failed") {
        BOOST_TEST(reply.body.at("not_run") == false);
        BOOST_TEST(!reply.body.contains("results"));
    }
    const auto later = post(system.callerUrl(0) + "/v1/jobs", job(system.ticket(0), 2));
    BOOST_TEST(later.body.at("state") == "complete");
}

// Guards against lost results of an agent that is suspended for longer than its lease and then continues, and against a second
// start of its tasks.
BOOST_AUTO_TEST_CASE(suspendedAgentResumes)
{
    deployment system(1, 1, TaskRunTimeMs);
    const std::string ticket = system.ticket(0);
    json_response reply;
    {
        duty_thread caller("caller", [&] {
            reply = post(system.callerUrl(0) + "/v1/jobs", job(ticket, 4));
        });
        std::this_thread::sleep_for(SignalDelay);
        system.agent(0).signal(SIGSTOP);
        std::this_thread::sleep_for(std::chrono::seconds(4));
        system.agent(0).signal(SIGCONT);
    }
    BOOST_TEST(reply.body.at("state") == "complete");
}

// Guards against tasks that run twice, or a false not_run, when the home entry is killed and the job is resubmitted to another
// entry.
BOOST_AUTO_TEST_CASE(resubmissionAfterHomeEntryWasKilled)
{
    deployment system(2, 2, TaskRunTimeMs);
    const std::string ticket = system.ticket(0);
    {
        duty_thread caller("caller", [&] {
            post(system.callerUrl(0) + "/v1/jobs", job(ticket, 4));
        });
        std::this_thread::sleep_for(SignalDelay);
        system.entry(0).signal(SIGKILL);
    }
    const auto reply = post(system.callerUrl(1) + "/v1/jobs", job(ticket, 4));
    const std::string state = reply.body.at("state");
    BOOST_TEST((state == "complete" || (state == "failed" && reply.body.at("not_run") == false)));
}

BOOST_AUTO_TEST_SUITE_END()
