#pragma once

#include "agent/agent_core.h"
#include "job/entry_fixture.h"
#include "log/null_logger.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace teaselward
{

/** One entry core and one agent core that exchange events directly. The test decides when the endpoint answers. */
class core_pair
{
public:
    explicit core_pair(std::uint32_t slots)
        : agent(agentSettings(slots), log)
    {
        entry.handle(agent_joined{.info = agentSettings(slots).self, .credits = 0, .lease = std::chrono::seconds(2)});
        toAgent(entry_joined{.info = entry.settings.self});
    }

    static agent_core_settings agentSettings(std::uint32_t slots)
    {
        agent_core_settings settings;
        settings.self.id = {7};
        settings.self.address = "10.1.0.7:1";
        settings.self.slots = slots;
        settings.self.kinds = {"check"};
        return settings;
    }

    /** Passes an event to the entry and delivers all resulting events to both sides. */
    void toEntry(const entry_event &event)
    {
        entry.handle(event);
        for (const entry_action &action : std::vector<entry_action>(entry.actions)) {
            if (const auto *start = std::get_if<start_task>(&action); start != nullptr) {
                toAgent(start_received{.call = {++m_calls}, .from = entry.settings.self.id, .order = start->order});
            } else if (const auto *revoke = std::get_if<revoke_task>(&action); revoke != nullptr) {
                toAgent(revoke_received{.call = {++m_calls}, .from = entry.settings.self.id, .id = revoke->id});
            } else if (const auto *reply = std::get_if<reply_job>(&action); reply != nullptr) {
                replies[reply->request.number] = reply->answer;
            }
        }
    }

    /** Passes an event to the agent and delivers all resulting events to both sides. */
    void toAgent(const agent_event &event)
    {
        std::vector<agent_action> actions;
        agent.handle(event, entry.now, actions);
        for (const agent_action &action : actions) {
            if (const auto *answer = std::get_if<answer_start>(&action); answer != nullptr) {
                toEntry(task_finished{.agent = {7}, .id = answer->id, .outcome = answer->outcome, .credits = answer->credits});
            } else if (const auto *revoked = std::get_if<answer_revoke>(&action); revoked != nullptr) {
                toEntry(task_revoked{.agent = {7}, .held = revoked->held});
            } else if (const auto *grant = std::get_if<grant_credits>(&action); grant != nullptr) {
                toEntry(credits_granted{.agent = {7}, .delta = grant->delta});
            } else if (const auto *crash = std::get_if<report_crash>(&action); crash != nullptr) {
                toEntry(endpoint_crashed{.agent = {7}, .suspects = crash->suspects});
            } else if (const auto *call = std::get_if<call_endpoint>(&action); call != nullptr) {
                calls.push_back(*call);
                ++started[call->id.index];
            }
        }
    }

    /** Makes the endpoint answer its oldest call successfully. */
    void finishCall()
    {
        const call_endpoint call = calls.front();
        calls.pop_front();
        toAgent(call_finished{.id = call.id, .outcome = entry_fixture::outcome(task_verdict::succeeded, "result of " + call.payload)});
    }

    std::uint64_t submit(const job_request &job)
    {
        const request_id request = entry.nextRequest();
        toEntry(job_submitted{.request = request, .job = job});
        return request.number;
    }

    null_logger log;
    entry_fixture entry;
    agent_core agent;
    std::deque<call_endpoint> calls; ///< Calls that the endpoint has not answered.
    std::map<std::uint32_t, int> started; ///< Number of endpoint calls by task index.
    std::map<std::uint64_t, job_answer> replies; ///< By request.

private:
    std::uint64_t m_calls = 0;
};

} // namespace teaselward
