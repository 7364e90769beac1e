#include "job/fault_simulation.h"

#include <algorithm>
#include <variant>

namespace teaselward
{

using namespace std::chrono_literals;

// Delivers an event to an incarnation of an entry, delayed while it is paused.
void fault_simulation::toEntry(std::size_t entry, std::uint64_t id, const entry_event &event)
{
    entry_process &process = m_entries[entry];
    if (!process.core || process.id != id) {
        return;
    }
    if (process.pausedUntil > m_now) {
        m_events.emplace(process.pausedUntil, [this, entry, id, event] {
            toEntry(entry, id, event);
        });
        return;
    }
    std::vector<entry_action> actions;
    process.core->handle(event, m_now, actions);
    for (const entry_action &action : actions) {
        perform(entry, action);
    }
    wakeEntry(entry);
}

void fault_simulation::toAgent(std::size_t agent, std::uint64_t id, const agent_event &event)
{
    agent_process &process = m_agents[agent];
    if (!process.core || process.id != id) {
        return;
    }
    std::vector<agent_action> actions;
    process.core->handle(event, m_now, actions);
    for (const agent_action &action : actions) {
        perform(agent, action);
    }
    wakeAgent(agent);
}

// Sends a message over a connection. It is lost if the connection breaks before it arrives.
void fault_simulation::send(std::size_t entry, std::size_t agent, std::function<void()> deliver)
{
    const link &connection = m_links[{entry, agent}];
    if (!connection.isUp) {
        return;
    }
    m_events.emplace(m_now + 500us, [this, entry, agent, generation = connection.generation, deliver = std::move(deliver)] {
        if (m_links[{entry, agent}].generation == generation) {
            deliver();
        }
    });
}

void fault_simulation::wakeEntry(std::size_t entry)
{
    const mono_time due = m_entries[entry].core->nextDue();
    if (due == mono_time::max()) {
        return;
    }
    m_events.emplace(std::max(due, m_now + 1us), [this, entry, id = m_entries[entry].id] {
        if (m_entries[entry].core && m_entries[entry].id == id && m_entries[entry].core->nextDue() <= m_now) {
            toEntry(entry, id, timer_fired{});
        }
    });
}

void fault_simulation::wakeAgent(std::size_t agent)
{
    const mono_time due = m_agents[agent].core->nextDue();
    if (due == mono_time::max()) {
        return;
    }
    m_events.emplace(std::max(due, m_now + 1us), [this, agent, id = m_agents[agent].id] {
        if (m_agents[agent].core && m_agents[agent].id == id && m_agents[agent].core->nextDue() <= m_now) {
            toAgent(agent, id, agent_timer_fired{});
        }
    });
}

std::size_t fault_simulation::agentOf(const agent_id &id) const
{
    const auto found = std::ranges::find(m_agents, id.value, &agent_process::id);
    return found == m_agents.end() ? Agents : static_cast<std::size_t>(found - m_agents.begin());
}

// Delivers an action of an entry to its receiver.
void fault_simulation::perform(std::size_t entry, const entry_action &action)
{
    std::visit(
        [this, entry](const auto &one) {
            deliver(entry, one);
        },
        action);
}

// Delivers an action of an agent to its receiver.
void fault_simulation::perform(std::size_t agent, const agent_action &action)
{
    std::visit(
        [this, agent](const auto &one) {
            deliver(agent, one);
        },
        action);
}

// Registers a call from an entry to an agent.
call_id fault_simulation::newCall(std::size_t entry)
{
    m_calls[++m_ids] = {entry, m_entries[entry].id};
    return {m_ids};
}

// Sends an event to the agent with an id, if it exists.
void fault_simulation::sendToAgent(std::size_t entry, const agent_id &id, const agent_event &event)
{
    if (const std::size_t agent = agentOf(id); agent != Agents) {
        send(entry, agent, [this, agent, id, event] {
            toAgent(agent, id.value, event);
        });
    }
}

// Sends the answer to a call back to the calling entry.
void fault_simulation::sendToCaller(std::size_t agent, const call_id &call, const entry_event &event)
{
    const std::size_t entry = m_calls.at(call.value).first;
    const std::uint64_t id = m_calls.at(call.value).second;
    send(entry, agent, [this, entry, id, event] {
        toEntry(entry, id, event);
    });
}

void fault_simulation::deliver(std::size_t entry, const start_task &action)
{
    sendToAgent(entry, action.agent, start_received{.call = newCall(entry), .from = {m_entries[entry].id}, .order = action.order});
}

void fault_simulation::deliver(std::size_t entry, const revoke_task &action)
{
    ++revocations;
    sendToAgent(entry, action.agent, revoke_received{.call = newCall(entry), .from = {m_entries[entry].id}, .id = action.id});
}

// A fence to an agent that is not connected fails immediately.
void fault_simulation::deliver(std::size_t entry, const fence_ticket &action)
{
    ++fences;
    const call_id call = newCall(entry);
    m_fencedTickets[call.value] = action.ticket;
    const std::size_t agent = agentOf(action.agent);
    if (agent != Agents && m_links[{entry, agent}].isUp) {
        sendToAgent(entry, action.agent, fence_received{.call = call, .from = {m_entries[entry].id}, .ticket = action.ticket});
        return;
    }
    const ticket_fenced failed{.agent = action.agent, .ticket = action.ticket, .answered = false, .held = {}};
    schedule(1ms, [this, entry, id = m_entries[entry].id, failed] {
        toEntry(entry, id, failed);
    });
}

void fault_simulation::deliver(std::size_t entry, const send_demand &action)
{
    sendToAgent(entry, action.agent, demand_received{.from = {m_entries[entry].id}, .queued = action.queued});
}

void fault_simulation::deliver(std::size_t entry, const forward_job &action)
{
    forward(entry, action.request, action.job.source, [job = action.job](request_id request) {
        return job_submitted{.request = request, .job = job};
    });
}

void fault_simulation::deliver(std::size_t /*entry*/, const reply_tickets &action)
{
    const std::size_t job = m_ticketRequests.at(action.request.number);
    m_jobs[job].job.source = action.tickets.at(0);
    submit(job);
}

void fault_simulation::deliver(std::size_t /*entry*/, const reply_job &action)
{
    if (action.request.origin != request_origin::peer) {
        answered(action);
        return;
    }
    schedule(500us, [this, call = action.request.number, answer = action.answer] {
        answerForward(call, true, false, answer);
    });
}

void fault_simulation::deliver(std::size_t agent, const answer_start &action)
{
    const agent_id self{m_agents[agent].id};
    sendToCaller(agent, action.call, task_finished{.agent = self, .id = action.id, .outcome = action.outcome, .credits = action.credits});
}

void fault_simulation::deliver(std::size_t agent, const answer_revoke &action)
{
    sendToCaller(agent, action.call, task_revoked{.agent = {m_agents[agent].id}, .held = action.held});
}

void fault_simulation::deliver(std::size_t agent, const answer_fence &action)
{
    const ticket_id ticket = m_fencedTickets.at(action.call.value);
    sendToCaller(agent, action.call, ticket_fenced{.agent = {m_agents[agent].id}, .ticket = ticket, .answered = true, .held = action.held});
}

void fault_simulation::deliver(std::size_t agent, const call_endpoint &action)
{
    runOnEndpoint(agent, action);
}

void fault_simulation::deliver(std::size_t agent, const grant_credits &action)
{
    const auto entry = std::ranges::find(m_entries, action.entry.value, &entry_process::id);
    if (entry == m_entries.end()) {
        return;
    }
    const auto index = static_cast<std::size_t>(entry - m_entries.begin());
    const credits_granted event{.agent = {m_agents[agent].id}, .delta = action.delta};
    send(index, agent, [this, index, id = action.entry.value, event] {
        toEntry(index, id, event);
    });
}

void fault_simulation::deliver(std::size_t agent, const report_crash &action)
{
    for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
        send(entry, agent, [this, entry, id = m_entries[entry].id, event = endpoint_crashed{{m_agents[agent].id}, action.suspects}] {
            toEntry(entry, id, event);
        });
    }
}

// Runs a task at an endpoint. The run is counted even if its outcome is lost or unknown.
void fault_simulation::runOnEndpoint(std::size_t agent, const call_endpoint &call)
{
    task_outcome outcome;
    outcome.verdict = task_verdict::succeeded;
    outcome.body = resultOf(call.payload);
    if (m_faultsEnabled && m_faultRate > 0 && chance(0.03)) {
        outcome.verdict = task_verdict::notStarted;
        outcome.body.clear();
    } else if (m_faultsEnabled && m_faultRate > 0 && chance(0.01)) {
        outcome.verdict = chance(0.5) ? task_verdict::failed : task_verdict::unknown;
        outcome.body.clear();
    }
    if (outcome.verdict != task_verdict::notStarted) {
        int &runs = m_runs[{call.id.ticket.incarnation, call.id.ticket.sequence}][call.id.index];
        duplicateRuns += ++runs > 1 ? 1 : 0;
    }
    schedule(randomBetween(5ms, 300ms), [this, agent, id = m_agents[agent].id, finished = call_finished{.id = call.id, .outcome = outcome}] {
        toAgent(agent, id, finished);
    });
}

// Forwards a request to its home entry. The call times out after 12 s, which leaves the home some time to answer after the time
// limit of the job.
void fault_simulation::forward(std::size_t entry, const request_id &request, const ticket &source, std::function<entry_event(request_id)> event)
{
    const std::uint64_t call = ++m_ids;
    m_forwards[call] = {.from = entry, .fromId = m_entries[entry].id, .request = request, .isDone = false};
    const auto home = std::ranges::find(m_entries, source.home, &entry_process::address);
    const auto index = static_cast<std::size_t>(home - m_entries.begin());
    if (home == m_entries.end() || !home->core || home->pausedUntil > m_now) {
        schedule(200ms, [this, call] {
            answerForward(call, false, false, {});
        });
    } else if (home->id != source.id.incarnation) {
        schedule(1ms, [this, call] {
            answerForward(call, true, true, {});
        });
    } else {
        schedule(500us, [this, index, id = home->id, call, event = std::move(event)] {
            toEntry(index, id, event({.origin = request_origin::peer, .number = call}));
        });
        schedule(12s, [this, call] {
            answerForward(call, false, false, {});
        });
    }
}

void fault_simulation::answerForward(std::uint64_t call, bool reached, bool otherIncarnation, const job_answer &answer)
{
    forwarded_call &forwarded = m_forwards.at(call);
    if (!forwarded.isDone) {
        forwarded.isDone = true;
        toEntry(forwarded.from,
                forwarded.fromId,
                forward_answered{.request = forwarded.request, .reached = reached, .otherIncarnation = otherIncarnation, .answer = answer});
    }
}

} // namespace teaselward
