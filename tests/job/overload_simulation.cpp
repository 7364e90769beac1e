#include "job/overload_simulation.h"

#include "config/route_rules.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <variant>

namespace teaselward
{

namespace
{

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::uint64_t FirstAgentId = 1000; // Keeps the ids of agents distinct from those of entries.
constexpr microseconds LinkDelay{500}; // One-way delay between failure domains.
constexpr milliseconds Target{60}; // Part of the objective that does not depend on the run time.
constexpr double Stretch = 1.6;
constexpr double LateFactor = 3; // Answers that take longer than this multiple of the objective are useless.
constexpr double Spread = 0.4; // Log-normal spread of task counts, run times and declared run times.
constexpr double LongFactor = 7; // Run times of unusually long jobs, as a multiple of the mean of their kind.
constexpr milliseconds StopDelay{10}; // Time that the stop of a run takes.
constexpr double TaskSpread = 0.15; // Log-normal spread of the run times within a job.

std::uint64_t agentId(std::size_t agent)
{
    return FirstAgentId + agent;
}

} // namespace

overload_simulation::overload_simulation(std::vector<simulated_kind> kinds, std::size_t endpoints, std::uint32_t seed, std::size_t entries)
    : m_kinds(std::move(kinds))
    , m_random(seed)
    , m_entries(entries)
    , m_agents(endpoints)
{
    route_config config;
    config.version = 1;
    for (const simulated_kind &kind : m_kinds) {
        route one;
        one.kind = kind.name;
        one.service = "service";
        one.timeLimit = kind.timeLimit;
        one.target = Target;
        one.stretch = Stretch;
        one.priority = kind.priority;
        one.attempts = 3;
        config.routes.push_back(one);
    }
    const auto rules = std::make_shared<rule_set>(routeRules(config));
    for (std::size_t agent = 0; agent < endpoints; ++agent) {
        const bool isLarge = agent % 3 == 2;
        agent_core_settings settings;
        settings.self.id = {agentId(agent)};
        settings.self.slots = 8;
        settings.self.kinds = {"service"};
        settings.capacity = task_resources{.cpuMillis = isLarge ? 48000U : 32000U, .memoryMb = 131072, .gpus = 0};
        m_agents[agent].core = std::make_unique<agent_core>(settings, m_log);
        m_agents[agent].slowdown = isLarge ? 1.3 : 1;
        m_agents[agent].freeMillis = settings.capacity->cpuMillis;
    }
    for (std::size_t entry = 0; entry < entries; ++entry) {
        entry_core_settings settings;
        settings.self = {.id = {entry + 1}, .address = "10.0.0." + std::to_string(entry + 1) + ":1", .failureDomain = "a"};
        settings.seed = seed + entry;
        m_entries[entry].core = std::make_unique<entry_core>(settings, m_now, m_log);
        toEntry(entry, rules_applied{.rules = rules});
        for (std::size_t agent = 0; agent < endpoints; ++agent) {
            agent_info info;
            info.id = {agentId(agent)};
            info.address = "10.1.0." + std::to_string(agent) + ":1";
            info.slots = 8;
            info.kinds = {"service"};
            toEntry(entry, agent_joined{.info = info, .credits = 0, .lease = std::chrono::seconds(2)});
            toAgent(agent, entry_joined{.info = settings.self});
        }
    }
}

overload_simulation::~overload_simulation() = default;

void overload_simulation::setSlowdown(std::size_t endpoint, double factor)
{
    m_agents.at(endpoint).slowdown = factor;
}

void overload_simulation::setLoad(double factor)
{
    m_load = factor;
}

void overload_simulation::run(milliseconds length, double burst, const std::string &kind)
{
    const mono_time end = m_now + length;
    for (const simulated_kind &one : m_kinds) {
        std::exponential_distribution<double> gap(m_load * one.jobsPerSecond * (one.name == kind ? burst : 1));
        mono_time at = m_now;
        while (at < end) {
            at += std::chrono::duration_cast<mono_clock::duration>(std::chrono::duration<double>(gap(m_random)));
            m_due.emplace(at, [this, &one] {
                submit(one);
            });
        }
    }
    runUntil(end);
}

std::map<std::string, kind_outcome> overload_simulation::takeOutcomes()
{
    runUntil(m_now + std::chrono::seconds(10));
    return std::exchange(m_outcomes, {});
}

void overload_simulation::schedule(microseconds delay, std::function<void()> callback)
{
    m_due.emplace(m_now + delay, std::move(callback));
}

void overload_simulation::runUntil(mono_time end)
{
    while (!m_due.empty() && m_due.begin()->first <= end) {
        m_now = std::max(m_now, m_due.begin()->first);
        const auto callback = std::move(m_due.begin()->second);
        m_due.erase(m_due.begin());
        callback();
    }
    m_now = end;
}

double overload_simulation::lognormal(double mean, double spread)
{
    return std::lognormal_distribution<double>(std::log(mean) - spread * spread / 2, spread)(m_random);
}

void overload_simulation::submit(const simulated_kind &kind)
{
    const auto tasks = static_cast<std::size_t>(std::max(1.0, std::round(lognormal(kind.tasks, Spread))));
    const bool isLong = kind.longFraction > 0 && std::bernoulli_distribution(kind.longFraction)(m_random);
    const double work = lognormal((isLong ? LongFactor : 1) * std::chrono::duration<double>(kind.work).count(), Spread);
    open_job open{.kind = kind.name, .arrival = m_now, .objective = {}, .cpuMillis = 0, .work = {}};
    for (std::size_t task = 0; task < tasks; ++task) {
        open.work.push_back(std::chrono::duration_cast<microseconds>(std::chrono::duration<double>(lognormal(work, TaskSpread))));
    }
    open.objective = std::chrono::duration_cast<microseconds>(Stretch * *std::ranges::max_element(open.work)) + Target;
    job_request job;
    job.kind = kind.name;
    job.key = std::to_string(++m_lastRequest);
    job.payloads.assign(tasks, "work");
    job.needs = {.cpuMillis = static_cast<std::uint32_t>(std::min(4700.0, lognormal(3100, 0.2))), .memoryMb = 64, .gpus = 0};
    job.timeLimit = kind.timeLimit;
    open.cpuMillis = job.needs.cpuMillis;
    job.estimate = milliseconds(static_cast<std::int64_t>(std::max(1.0, 1000 * lognormal(work, Spread))));
    const request_id request{.origin = request_origin::caller, .number = m_lastRequest};
    ++m_outcomes[kind.name].submitted;
    m_requests[job.key] = m_lastRequest;
    m_open[m_lastRequest] = std::move(open);
    const std::size_t entry = m_random() % m_entries.size();
    toEntry(entry, keyed_job_submitted{.request = request, .job = std::move(job)});
}

void overload_simulation::toEntry(std::size_t entry, const entry_event &event)
{
    std::vector<entry_action> actions;
    m_entries[entry].core->handle(event, m_now, actions);
    for (const entry_action &action : actions) {
        perform(entry, action);
    }
    wakeEntry(entry);
}

void overload_simulation::toAgent(std::size_t agent, const agent_event &event)
{
    std::vector<agent_action> actions;
    m_agents[agent].core->handle(event, m_now, actions);
    for (const agent_action &action : actions) {
        perform(agent, action);
    }
    wakeAgent(agent);
}

// Schedules the next timer event of an entry, unless an earlier one is already scheduled.
void overload_simulation::wakeEntry(std::size_t entry)
{
    const mono_time due = m_entries[entry].core->nextDue();
    if (due >= m_entries[entry].wake) {
        return;
    }
    m_entries[entry].wake = due;
    m_due.emplace(due, [this, entry] {
        m_entries[entry].wake = mono_time::max();
        toEntry(entry, timer_fired{});
    });
}

void overload_simulation::wakeAgent(std::size_t agent)
{
    const mono_time due = m_agents[agent].core->nextDue();
    if (due >= m_agents[agent].wake) {
        return;
    }
    m_agents[agent].wake = due;
    m_due.emplace(due, [this, agent] {
        m_agents[agent].wake = mono_time::max();
        toAgent(agent, agent_timer_fired{});
    });
}

void overload_simulation::perform(std::size_t entry, const entry_action &action)
{
    const entry_id self{entry + 1};
    if (const auto *start = std::get_if<start_task>(&action); start != nullptr) {
        const call_id call{++m_lastCall};
        m_callers[call.value] = entry;
        schedule(LinkDelay, [this, call, self, start = *start] {
            toAgent(start.agent.value - FirstAgentId, start_received{.call = call, .from = self, .order = start.order});
        });
    } else if (const auto *demand = std::get_if<send_demand>(&action); demand != nullptr) {
        schedule(LinkDelay, [this, self, demand = *demand] {
            toAgent(demand.agent.value - FirstAgentId, demand_received{.from = self, .queued = demand.queued});
        });
    } else if (const auto *stop = std::get_if<stop_task>(&action); stop != nullptr) {
        schedule(LinkDelay, [this, self, stop = *stop] {
            toAgent(stop.agent.value - FirstAgentId, stop_received{.from = self, .id = stop.id});
        });
    } else if (const auto *reply = std::get_if<reply_job>(&action); reply != nullptr) {
        answered(reply->answer, reply->request.number);
    }
}

void overload_simulation::perform(std::size_t agent, const agent_action &action)
{
    const agent_id self{agentId(agent)};
    if (const auto *call = std::get_if<call_endpoint>(&action); call != nullptr) {
        const auto open = m_open.find(m_requests.at(call->key));
        const microseconds work = open == m_open.end() ? microseconds(1000) : open->second.work.at(call->id.index);
        const auto runTime = std::chrono::duration_cast<microseconds>(work * m_agents[agent].slowdown);
        const std::uint32_t used = open == m_open.end() ? 0 : open->second.cpuMillis;
        m_agents[agent].freeMillis -= used;
        m_runs[call->id] = {.agent = agent, .kind = call->kind, .cpuMillis = used, .start = m_now};
        schedule(runTime, [this, id = call->id] {
            endRun(id, task_verdict::succeeded);
        });
    } else if (const auto *stop = std::get_if<stop_call>(&action); stop != nullptr) {
        schedule(StopDelay, [this, id = stop->id] {
            endRun(id, task_verdict::interrupted);
        });
    } else if (const auto *answer = std::get_if<answer_start>(&action); answer != nullptr) {
        const std::size_t entry = m_callers.at(answer->call.value);
        schedule(LinkDelay, [this, entry, self, answer = *answer] {
            toEntry(entry, task_finished{.agent = self, .id = answer.id, .outcome = answer.outcome, .credits = answer.credits});
        });
    } else if (const auto *grant = std::get_if<grant_credits>(&action); grant != nullptr) {
        schedule(LinkDelay, [this, self, grant = *grant] {
            toEntry(grant.entry.value - 1, credits_granted{.agent = self, .delta = grant.delta});
        });
    }
}

// Ends a run that has not ended yet and reports it to its agent.
void overload_simulation::endRun(const task_id &id, task_verdict verdict)
{
    const auto found = m_runs.find(id);
    if (found == m_runs.end()) {
        return;
    }
    const running_run run = found->second;
    m_runs.erase(found);
    m_agents[run.agent].freeMillis += run.cpuMillis;
    task_outcome outcome;
    outcome.verdict = verdict;
    outcome.runTime = std::chrono::duration_cast<microseconds>(m_now - run.start);
    if (verdict != task_verdict::succeeded) {
        outcome.why = reason::cancelled;
        m_outcomes[run.kind].wasted += std::chrono::duration<double>(outcome.runTime).count() * run.cpuMillis / 1000;
    }
    toAgent(run.agent, call_finished{.id = id, .outcome = outcome});
}

// Checks whether the free processors of the endpoints hold all tasks of a job.
bool overload_simulation::hasRoom(const open_job &job) const
{
    std::size_t places = 0;
    for (const agent_process &agent : m_agents) {
        places += agent.freeMillis / job.cpuMillis;
    }
    return places >= job.work.size();
}

void overload_simulation::answered(const job_answer &answer, std::uint64_t request)
{
    const auto found = m_open.find(request);
    if (found == m_open.end()) {
        return;
    }
    kind_outcome &outcome = m_outcomes[found->second.kind];
    const auto took = m_now - found->second.arrival;
    if (answer.state != job_state::complete && !answer.notRun) {
        ++outcome.failed;
    } else if (answer.state != job_state::complete) {
        ++outcome.refused;
        outcome.refusedWithRoom += hasRoom(found->second) ? 1 : 0;
        outcome.refusedSlowly += 4 * took > found->second.objective ? 1 : 0;
    } else if (took <= found->second.objective) {
        ++outcome.inTime;
    } else if (took <= LateFactor * found->second.objective) {
        ++outcome.late;
    }
    m_open.erase(found);
}

} // namespace teaselward
