#include "job/fault_world.h"

#include <algorithm>
#include <variant>

namespace teaselward
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t Entries = 3;
constexpr std::size_t Agents = 4;
constexpr std::uint32_t Slots = 4;
constexpr int MaxAttempts = 6;

std::string resultOf(const std::string &payload)
{
    return "result of " + payload;
}

} // namespace

fault_world::fault_world(std::uint32_t seed, double faultRate)
    : m_random(seed)
    , m_faultRate(faultRate)
    , m_entries(Entries)
    , m_agents(Agents)
{
    for (std::size_t entry = 0; entry < Entries; ++entry) {
        startEntry(entry);
    }
    for (std::size_t agent = 0; agent < Agents; ++agent) {
        startAgent(agent);
    }
}

fault_world::~fault_world() = default;

void fault_world::after(std::chrono::microseconds delay, std::function<void()> what)
{
    m_events.emplace(m_now + delay, std::move(what));
}

std::chrono::microseconds fault_world::between(std::chrono::microseconds least, std::chrono::microseconds most)
{
    return std::chrono::microseconds(std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(m_random));
}

bool fault_world::chance(double probability)
{
    return std::bernoulli_distribution(probability)(m_random);
}

// Starts an incarnation of an entry; all agents register at it.
void fault_world::startEntry(std::size_t entry)
{
    entry_process &process = m_entries[entry];
    process.id = ++m_ids;
    process.address = "10.0.0." + std::to_string(entry) + ":1";
    process.pausedUntil = {};
    process.peerRequests.clear();
    entry_core_settings settings;
    settings.self = {.id = {process.id}, .address = process.address, .failureDomain = "a"};
    settings.seed = process.id;
    process.core = std::make_unique<entry_core>(settings, m_now, m_log);
    auto rules = std::make_shared<rule_set>();
    rules->kinds["check"] = kind_rule();
    toEntry(entry, process.id, rules_applied{.rules = rules});
    for (std::size_t agent = 0; agent < Agents; ++agent) {
        connect(entry, agent);
    }
}

// Starts an incarnation of an agent; it registers at all entries.
void fault_world::startAgent(std::size_t agent)
{
    agent_process &process = m_agents[agent];
    process.id = ++m_ids;
    process.address = "10.1.0." + std::to_string(agent) + ":1";
    agent_core_settings settings;
    settings.self.id = {process.id};
    settings.self.address = process.address;
    settings.self.slots = Slots;
    settings.self.kinds = {"check"};
    process.core = std::make_unique<agent_core>(settings, m_log);
    for (std::size_t entry = 0; entry < Entries; ++entry) {
        connect(entry, agent);
    }
}

void fault_world::connect(std::size_t entry, std::size_t agent)
{
    link &one = m_links[{entry, agent}];
    if (one.isUp || !m_entries[entry].core || !m_agents[agent].core) {
        return;
    }
    one.isUp = true;
    ++one.generation;
    agent_info info;
    info.id = {m_agents[agent].id};
    info.address = m_agents[agent].address;
    info.slots = Slots;
    info.kinds = {"check"};
    toEntry(entry, m_entries[entry].id, agent_joined{.info = info, .credits = 0, .lease = 2s});
    const entry_info self{.id = {m_entries[entry].id}, .address = m_entries[entry].address, .failureDomain = "a"};
    toAgent(agent, m_agents[agent].id, entry_joined{.info = self});
}

// Breaks a connection; messages on the way are lost. Both sides notice it and connect again a little later.
void fault_world::disconnect(std::size_t entry, std::size_t agent)
{
    link &one = m_links[{entry, agent}];
    if (!one.isUp) {
        return;
    }
    one.isUp = false;
    ++one.generation;
    if (m_entries[entry].core) {
        toEntry(entry, m_entries[entry].id, agent_lost{.agent = {m_agents[agent].id}});
    }
    if (m_agents[agent].core) {
        toAgent(agent, m_agents[agent].id, entry_lost{.entry = {m_entries[entry].id}});
    }
    after(between(10ms, 1500ms), [this, entry, agent] {
        connect(entry, agent);
    });
}

// Delivers an event to one incarnation of an entry; a paused one gets it later.
void fault_world::toEntry(std::size_t entry, std::uint64_t id, const entry_event &event)
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

void fault_world::toAgent(std::size_t agent, std::uint64_t id, const agent_event &event)
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

// Sends a message over a connection; it is lost if the connection breaks meanwhile.
void fault_world::send(std::size_t entry, std::size_t agent, std::function<void()> deliver)
{
    const link &one = m_links[{entry, agent}];
    if (!one.isUp) {
        return;
    }
    m_events.emplace(m_now + 500us, [this, entry, agent, generation = one.generation, deliver = std::move(deliver)] {
        if (m_links[{entry, agent}].generation == generation) {
            deliver();
        }
    });
}

void fault_world::wakeEntry(std::size_t entry)
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

void fault_world::wakeAgent(std::size_t agent)
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

std::size_t fault_world::agentOf(const agent_id &id) const
{
    const auto found = std::ranges::find(m_agents, id.value, &agent_process::id);
    return found == m_agents.end() ? Agents : static_cast<std::size_t>(found - m_agents.begin());
}

void fault_world::perform(std::size_t entry, const entry_action &action)
{
    const std::uint64_t from = m_entries[entry].id;
    const auto call = [&](const agent_id &id, auto makeEvent) {
        const std::size_t agent = agentOf(id);
        if (agent == Agents) {
            return;
        }
        const std::uint64_t number = ++m_ids;
        m_calls[number] = {entry, from};
        send(entry, agent, [this, agent, id, event = makeEvent(call_id{number})] {
            toAgent(agent, id.value, event);
        });
    };
    if (const auto *start = std::get_if<start_task>(&action); start != nullptr) {
        call(start->agent, [&](call_id number) {
            return start_received{.call = number, .from = {from}, .order = start->order};
        });
    } else if (const auto *revoke = std::get_if<revoke_task>(&action); revoke != nullptr) {
        ++revocations;
        call(revoke->agent, [&](call_id number) {
            return revoke_received{.call = number, .from = {from}, .id = revoke->id};
        });
    } else if (const auto *fence = std::get_if<fence_ticket>(&action); fence != nullptr) {
        ++fences;
        const std::size_t agent = agentOf(fence->agent);
        call(fence->agent, [&](call_id number) {
            m_fencedTickets[number.value] = fence->ticket;
            return fence_received{.call = number, .from = {from}, .ticket = fence->ticket};
        });
        if (agent == Agents || !m_links[{entry, agent}].isUp) {
            after(1ms, [this, entry, from, fenced = ticket_fenced{.agent = fence->agent, .ticket = fence->ticket, .answered = false, .held = {}}] {
                toEntry(entry, from, fenced);
            });
        }
    } else if (const auto *demand = std::get_if<send_demand>(&action); demand != nullptr) {
        call(demand->agent, [&](call_id /*number*/) {
            return demand_received{.from = {from}, .queued = demand->queued};
        });
    } else if (const auto *job = std::get_if<forward_job>(&action); job != nullptr) {
        forward(entry, job->request, job->job.source, [submission = job->job](request_id request) {
            return job_submitted{.request = request, .job = submission};
        });
    } else if (const auto *tickets = std::get_if<reply_tickets>(&action); tickets != nullptr) {
        const std::size_t job_index = m_ticketRequests.at(tickets->request.number);
        m_jobs[job_index].job.source = tickets->tickets.at(0);
        submit(job_index);
    } else if (const auto *reply = std::get_if<reply_job>(&action); reply != nullptr) {
        if (reply->request.origin == request_origin::peer) {
            after(500us, [this, call_number = reply->request.number, answer = reply->answer] {
                answerForward(call_number, true, false, answer);
            });
        } else {
            answered(*reply);
        }
    }
}

void fault_world::perform(std::size_t agent, const agent_action &action)
{
    const agent_id self{m_agents[agent].id};
    const auto answer = [&](const call_id &call, const entry_event &event) {
        const auto [entry, id] = m_calls.at(call.value);
        send(entry, agent, [this, entry = entry, id = id, event] {
            toEntry(entry, id, event);
        });
    };
    if (const auto *start = std::get_if<answer_start>(&action); start != nullptr) {
        answer(start->call, task_finished{.agent = self, .id = start->id, .outcome = start->outcome, .credits = start->credits});
    } else if (const auto *revoke = std::get_if<answer_revoke>(&action); revoke != nullptr) {
        answer(revoke->call, task_revoked{.agent = self, .held = revoke->held});
    } else if (const auto *fence = std::get_if<answer_fence>(&action); fence != nullptr) {
        answer(fence->call, ticket_fenced{.agent = self, .ticket = m_fencedTickets.at(fence->call.value), .answered = true, .held = fence->held});
    } else if (const auto *call = std::get_if<call_endpoint>(&action); call != nullptr) {
        runOnEndpoint(agent, *call);
    } else if (const auto *grant = std::get_if<grant_credits>(&action); grant != nullptr) {
        for (std::size_t entry = 0; entry < Entries; ++entry) {
            if (m_entries[entry].id == grant->entry.value) {
                send(entry, agent, [this, entry, id = grant->entry.value, event = credits_granted{.agent = self, .delta = grant->delta}] {
                    toEntry(entry, id, event);
                });
            }
        }
    }
}

// Runs a task; the run counts even if its outcome is lost or unknown.
void fault_world::runOnEndpoint(std::size_t agent, const call_endpoint &call)
{
    task_outcome outcome;
    outcome.verdict = task_verdict::succeeded;
    outcome.body = resultOf(call.payload);
    if (m_isFaulty && m_faultRate > 0 && chance(0.03)) {
        outcome.verdict = task_verdict::notStarted;
        outcome.body.clear();
    } else if (m_isFaulty && m_faultRate > 0 && chance(0.01)) {
        outcome.verdict = chance(0.5) ? task_verdict::failed : task_verdict::unknown;
        outcome.body.clear();
    }
    if (outcome.verdict != task_verdict::notStarted) {
        int &runs = m_runs[{call.id.ticket.incarnation, call.id.ticket.sequence}][call.id.index];
        secondRuns += ++runs > 1 ? 1 : 0;
    }
    after(between(5ms, 300ms), [this, agent, id = m_agents[agent].id, finished = call_finished{.id = call.id, .outcome = outcome}] {
        toAgent(agent, id, finished);
    });
}

// Carries a forwarded request to its home, which has a second to answer beyond the time that it works on the job.
void fault_world::forward(std::size_t entry, const request_id &request, const ticket &source, std::function<entry_event(request_id)> event)
{
    const std::uint64_t call = ++m_ids;
    m_forwards[call] = {.from = entry, .fromId = m_entries[entry].id, .request = request, .isDone = false};
    const auto home = std::ranges::find(m_entries, source.home, &entry_process::address);
    const auto index = static_cast<std::size_t>(home - m_entries.begin());
    if (home == m_entries.end() || !home->core || home->pausedUntil > m_now) {
        after(200ms, [this, call] {
            answerForward(call, false, false, {});
        });
    } else if (home->id != source.id.incarnation) {
        after(1ms, [this, call] {
            answerForward(call, true, true, {});
        });
    } else {
        after(500us, [this, index, id = home->id, call, event = std::move(event)] {
            toEntry(index, id, event({.origin = request_origin::peer, .number = call}));
        });
        after(12s, [this, call] {
            answerForward(call, false, false, {});
        });
    }
}

void fault_world::answerForward(std::uint64_t call, bool reached, bool otherIncarnation, const job_answer &answer)
{
    forwarded_call &one = m_forwards.at(call);
    if (!one.isDone) {
        one.isDone = true;
        toEntry(one.from, one.fromId, forward_answered{.request = one.request, .reached = reached, .otherIncarnation = otherIncarnation, .answer = answer});
    }
}

// Takes a ticket at any entry that answers.
void fault_world::requestTicket(std::size_t job)
{
    const auto entry = static_cast<std::size_t>(between(0us, std::chrono::microseconds(Entries - 1)).count());
    if (!m_entries[entry].core || m_entries[entry].pausedUntil > m_now) {
        after(100ms, [this, job] {
            requestTicket(job);
        });
        return;
    }
    const std::uint64_t request = ++m_ids;
    m_ticketRequests[request] = job;
    toEntry(entry, m_entries[entry].id, ticket_requested{.request = {.origin = request_origin::caller, .number = request}, .count = 1});
}

// Submits a job at any living entry, and again after a while if no final answer came.
void fault_world::submit(std::size_t job)
{
    caller_job &one = m_jobs[job];
    if (one.hasFinalAnswer || one.attempts++ >= MaxAttempts) {
        return;
    }
    const auto entry = static_cast<std::size_t>(between(0us, std::chrono::microseconds(Entries - 1)).count());
    if (m_entries[entry].core) {
        const std::uint64_t request = ++m_ids;
        m_requests[request] = {.job = job, .entryId = m_entries[entry].id, .isAnswered = false};
        const job_submitted event{.request = {.origin = request_origin::caller, .number = request}, .job = one.job};
        after(3ms, [this, entry, id = m_entries[entry].id, event] {
            toEntry(entry, id, event);
        });
    }
    after(between(500ms, 4s), [this, job] {
        submit(job);
    });
}

// Checks an answer that a caller gets.
void fault_world::answered(const reply_job &reply)
{
    open_request &request = m_requests.at(reply.request.number);
    repeatedAnswers += request.isAnswered ? 1 : 0;
    request.isAnswered = true;
    caller_job &job = m_jobs[request.job];
    const job_answer &answer = reply.answer;
    const bool hasRun = m_runs.contains({job.job.source.id.incarnation, job.job.source.id.sequence});
    falseNotRun += answer.notRun && hasRun ? 1 : 0;
    if (answer.state == job_state::complete) {
        std::vector<std::string> expected;
        std::ranges::transform(job.job.payloads, std::back_inserter(expected), resultOf);
        wrongAnswers += answer.results != expected ? 1 : 0;
    } else {
        wrongAnswers += answer.results.empty() ? 0 : 1;
    }
    if (answer.state == job_state::complete || answer.state == job_state::failed) {
        completeJobs += !job.hasFinalAnswer && answer.state == job_state::complete ? 1 : 0;
        failedJobs += !job.hasFinalAnswer && answer.state == job_state::failed ? 1 : 0;
        job.hasFinalAnswer = true;
        job.wasToldFailedNotRun = job.wasToldFailedNotRun || (answer.state == job_state::failed && answer.notRun);
    }
}

// Lets something break, and schedules the next fault.
void fault_world::inject()
{
    if (!m_isFaulty) {
        return;
    }
    const auto entry = static_cast<std::size_t>(between(0us, std::chrono::microseconds(Entries - 1)).count());
    const auto agent = static_cast<std::size_t>(between(0us, std::chrono::microseconds(Agents - 1)).count());
    if (chance(0.7)) {
        disconnect(entry, agent);
    } else if (chance(0.4) && m_agents[agent].core) {
        m_agents[agent].core.reset();
        for (std::size_t one = 0; one < Entries; ++one) {
            disconnect(one, agent);
        }
        after(between(100ms, 3s), [this, agent] {
            startAgent(agent);
        });
    } else if (chance(0.5) && m_entries[entry].core) {
        m_entries[entry].core.reset();
        for (std::size_t one = 0; one < Agents; ++one) {
            disconnect(entry, one);
        }
        after(between(100ms, 3s), [this, entry] {
            startEntry(entry);
        });
    } else if (m_entries[entry].core) {
        m_entries[entry].pausedUntil = m_now + between(500ms, 5s);
    }
    const std::chrono::duration<double> gap(std::exponential_distribution<double>(m_faultRate)(m_random));
    after(std::chrono::duration_cast<std::chrono::microseconds>(gap), [this] {
        inject();
    });
}

void fault_world::run(int jobs)
{
    if (m_faultRate > 0) {
        after(1s, [this] {
            inject();
        });
    }
    for (int i = 0; i < jobs; ++i) {
        caller_job job;
        job.job.kind = "check";
        job.job.team = "team";
        const auto tasks = between(1us, 8us).count();
        for (std::int64_t task = 0; task < tasks; ++task) {
            job.job.payloads.push_back(std::to_string(i) + "/" + std::to_string(task));
        }
        m_jobs.push_back(job);
        after(between(0s, 50ms * jobs), [this, i] {
            requestTicket(static_cast<std::size_t>(i));
        });
    }
    after(50ms * jobs + 30s, [this] {
        m_isFaulty = false;
    });
    // Longer than every deadline and resubmission, and shorter than the lifetime of a ticket.
    const mono_time end = m_now + 50ms * jobs + 120s;
    while (!m_events.empty() && m_events.begin()->first <= end) {
        const auto next = m_events.extract(m_events.begin());
        m_now = std::max(m_now, next.key());
        next.mapped()();
    }
    for (const auto &[number, request] : m_requests) {
        const bool isAlive = std::ranges::any_of(m_entries, [&](const entry_process &entry) {
            return entry.core && entry.id == request.entryId;
        });
        lostRequests += isAlive && !request.isAnswered ? 1 : 0;
    }
    for (const caller_job &job : m_jobs) {
        falseNotRun += job.wasToldFailedNotRun && m_runs.contains({job.job.source.id.incarnation, job.job.source.id.sequence}) ? 1 : 0;
    }
}

} // namespace teaselward
