#include "scenario/world.h"

#include <absl/strings/numbers.h>

#include <utility>

// What the adapters of an agent do with its actions, and the fake endpoint.

namespace teaselward::testing
{

namespace
{

// A payload ends with the run time of its task in milliseconds, after a colon.
std::chrono::milliseconds runTime(const std::string &payload)
{
    std::int64_t count = 0;
    const auto colon = payload.rfind(':');
    const bool found = colon != std::string::npos && absl::SimpleAtoi(payload.substr(colon + 1), &count);
    return std::chrono::milliseconds(found ? count : 1);
}

} // namespace

const std::vector<world::agent_performer> world::AgentPerformers = {
    &world::onAnswerStart,
    &world::onAnswerRevoke,
    &world::onAnswerFence,
    &world::onCallEndpoint,
    &world::onStopCall,
    &world::onEndSessions,
    &world::onGrantCredits,
    &world::onAnnounceLeaving,
    &world::onFinishAgentDrain,
};
static_assert(std::variant_size_v<agent_action> == 9);

void world::onAnswerStart(std::size_t agent, agent_action &action)
{
    const auto &answer = std::get<answer_start>(action);
    agent_call call;
    if (!closeCall(answer.call, call)) {
        return;
    }
    carry(call.entry, agent, [this, entry = call.entry, agent, answer] {
        std::erase(link(entry, agent).unanswered, answer.id);
        m_entries[entry]->deliver(task_finished{m_agentInfos[agent].id, answer.id, answer.outcome, answer.credits});
    });
}

void world::onAnswerRevoke(std::size_t agent, agent_action &action)
{
    const auto &answer = std::get<answer_revoke>(action);
    agent_call call;
    if (!closeCall(answer.call, call)) {
        return;
    }
    carry(call.entry, agent, [this, entry = call.entry, agent, answer] {
        m_entries[entry]->deliver(task_revoked{m_agentInfos[agent].id, answer.held});
    });
}

void world::onAnswerFence(std::size_t agent, agent_action &action)
{
    const auto &answer = std::get<answer_fence>(action);
    agent_call call;
    if (!closeCall(answer.call, call)) {
        return;
    }
    m_checker.fenced(call.ticket, agent);
    carry(call.entry, agent, [this, call, agent, answer] {
        m_entries[call.entry]->deliver(ticket_fenced{m_agentInfos[agent].id, call.ticket, true, answer.held});
    });
}

void world::onCallEndpoint(std::size_t agent, agent_action &action)
{
    const auto &call = std::get<call_endpoint>(action);
    const auto life = m_agents[agent]->life();
    if (m_modes[agent] == endpoint_mode::refuse) {
        endCall(agent, life, call.id, task_outcome{task_verdict::notStarted, reason::overloaded, "connection refused", {}}, m_heap.now());
        return;
    }
    m_checker.started(call.id, agent, m_heap.now());
    ++m_agentStarts[agent];
    if (m_modes[agent] == endpoint_mode::fail) {
        endCall(agent, life, call.id, task_outcome{task_verdict::failed, reason::taskFailed, "status 500", {}}, m_heap.now());
        return;
    }
    const auto duration = runTime(call.payload);
    const bool silent = m_modes[agent] == endpoint_mode::silent;
    if (silent || duration > call.timeLimit) {
        endCall(agent, life, call.id, task_outcome{task_verdict::unknown, reason::deadlineExceeded, "no answer", {}}, m_heap.now() + call.timeLimit);
        return;
    }
    const std::string result = "done " + call.payload;
    m_heap.add(m_heap.now() + duration, [this, id = call.id, result] {
        m_checker.succeeded(id, result);
    });
    endCall(agent, life, call.id, task_outcome{task_verdict::succeeded, reason::none, result, duration}, m_heap.now() + duration);
}

// Tells the agent the outcome, unless it has been killed since.
void world::endCall(std::size_t agent, std::uint64_t life, const task_id &id, task_outcome outcome, mono_time due)
{
    m_heap.add(due, [this, agent, life, id, outcome = std::move(outcome)] {
        if (m_agents[agent]->life() == life) {
            m_agents[agent]->deliver(call_finished{id, outcome});
        }
    });
}

// The run ends at once; its own end, which is due later, no longer counts.
void world::onStopCall(std::size_t agent, agent_action &action)
{
    const auto stop = std::get<stop_call>(action);
    endCall(agent, m_agents[agent]->life(), stop.id, task_outcome{task_verdict::interrupted, reason::cancelled, "stopped", {}}, m_heap.now());
}

void world::onEndSessions(std::size_t agent, agent_action & /*action*/)
{
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
        disconnect(entry, agent);
        connectLater(entry, agent);
    }
}

void world::onGrantCredits(std::size_t agent, agent_action &action)
{
    const auto grant = std::get<grant_credits>(action);
    const std::size_t entry = entryOf(grant.entry);
    if (entry < m_entries.size()) {
        carry(entry, agent, [this, entry, agent, delta = grant.delta] {
            m_entries[entry]->deliver(credits_granted{m_agentInfos[agent].id, delta});
        });
    }
}

void world::onAnnounceLeaving(std::size_t agent, agent_action & /*action*/)
{
    if (m_leavingSilent) {
        return;
    }
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
        carry(entry, agent, [this, entry, agent] {
            m_entries[entry]->deliver(agent_leaving{m_agentInfos[agent].id});
        });
    }
}

void world::onFinishAgentDrain(std::size_t agent, agent_action & /*action*/)
{
    m_agentDrained[agent] = true;
}

} // namespace teaselward::testing
