#include "job/fault_simulation.h"

#include <algorithm>

namespace teaselward
{

namespace
{

using namespace std::chrono_literals;

constexpr int MaxAttempts = 6;

} // namespace

fault_simulation::fault_simulation(std::uint32_t seed, double faultRate)
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

fault_simulation::~fault_simulation() = default;

std::string fault_simulation::resultOf(const std::string &payload)
{
    return "result of " + payload;
}

void fault_simulation::schedule(std::chrono::microseconds delay, std::function<void()> callback)
{
    m_events.emplace(m_now + delay, std::move(callback));
}

std::chrono::microseconds fault_simulation::randomBetween(std::chrono::microseconds least, std::chrono::microseconds most)
{
    return std::chrono::microseconds(std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(m_random));
}

bool fault_simulation::chance(double probability)
{
    return std::bernoulli_distribution(probability)(m_random);
}

// Starts a new incarnation of an entry, at which all agents register.
void fault_simulation::startEntry(std::size_t entry)
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

// Starts a new incarnation of an agent, which registers at all entries.
void fault_simulation::startAgent(std::size_t agent)
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

void fault_simulation::connect(std::size_t entry, std::size_t agent)
{
    link &connection = m_links[{entry, agent}];
    if (connection.isUp || !m_entries[entry].core || !m_agents[agent].core) {
        return;
    }
    connection.isUp = true;
    ++connection.generation;
    agent_info info;
    info.id = {m_agents[agent].id};
    info.address = m_agents[agent].address;
    info.slots = Slots;
    info.kinds = {"check"};
    toEntry(entry, m_entries[entry].id, agent_joined{.info = info, .credits = 0, .lease = 2s});
    const entry_info self{.id = {m_entries[entry].id}, .address = m_entries[entry].address, .failureDomain = "a"};
    toAgent(agent, m_agents[agent].id, entry_joined{.info = self});
}

// Breaks a connection. Messages in flight are lost; both sides are notified and reconnect after a delay.
void fault_simulation::disconnect(std::size_t entry, std::size_t agent)
{
    link &connection = m_links[{entry, agent}];
    if (!connection.isUp) {
        return;
    }
    connection.isUp = false;
    ++connection.generation;
    if (m_entries[entry].core) {
        toEntry(entry, m_entries[entry].id, agent_lost{.agent = {m_agents[agent].id}});
    }
    if (m_agents[agent].core) {
        toAgent(agent, m_agents[agent].id, entry_lost{.entry = {m_entries[entry].id}});
    }
    schedule(randomBetween(10ms, 1500ms), [this, entry, agent] {
        connect(entry, agent);
    });
}

// Requests a ticket from a random entry, and retries while it is down or paused.
void fault_simulation::requestTicket(std::size_t job)
{
    const auto entry = static_cast<std::size_t>(randomBetween(0us, std::chrono::microseconds(Entries - 1)).count());
    if (!m_entries[entry].core || m_entries[entry].pausedUntil > m_now) {
        schedule(100ms, [this, job] {
            requestTicket(job);
        });
        return;
    }
    const std::uint64_t request = ++m_ids;
    m_ticketRequests[request] = job;
    toEntry(entry, m_entries[entry].id, ticket_requested{.request = {.origin = request_origin::caller, .number = request}, .count = 1});
}

// Submits a job to a random entry, and again after a delay if there is no final answer.
void fault_simulation::submit(std::size_t job)
{
    caller_job &current = m_jobs[job];
    if (current.hasFinalAnswer || current.attempts++ >= MaxAttempts) {
        return;
    }
    const auto entry = static_cast<std::size_t>(randomBetween(0us, std::chrono::microseconds(Entries - 1)).count());
    if (m_entries[entry].core) {
        const std::uint64_t request = ++m_ids;
        m_requests[request] = {.job = job, .entryId = m_entries[entry].id, .isAnswered = false};
        const job_submitted event{.request = {.origin = request_origin::caller, .number = request}, .job = current.job};
        schedule(3ms, [this, entry, id = m_entries[entry].id, event] {
            toEntry(entry, id, event);
        });
    }
    schedule(randomBetween(500ms, 4s), [this, job] {
        submit(job);
    });
}

// Checks an answer to a caller.
void fault_simulation::answered(const reply_job &reply)
{
    open_request &request = m_requests.at(reply.request.number);
    duplicateAnswers += request.isAnswered ? 1 : 0;
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
        job.sawFailedNotRun = job.sawFailedNotRun || (answer.state == job_state::failed && answer.notRun);
    }
}

// Injects a random fault and schedules the next one.
void fault_simulation::injectFault()
{
    if (!m_faultsEnabled) {
        return;
    }
    const auto entry = static_cast<std::size_t>(randomBetween(0us, std::chrono::microseconds(Entries - 1)).count());
    const auto agent = static_cast<std::size_t>(randomBetween(0us, std::chrono::microseconds(Agents - 1)).count());
    if (chance(0.7)) {
        disconnect(entry, agent);
    } else if (chance(0.4) && m_agents[agent].core) {
        m_agents[agent].core.reset();
        for (std::size_t one = 0; one < Entries; ++one) {
            disconnect(one, agent);
        }
        schedule(randomBetween(100ms, 3s), [this, agent] {
            startAgent(agent);
        });
    } else if (chance(0.5) && m_entries[entry].core) {
        m_entries[entry].core.reset();
        for (std::size_t one = 0; one < Agents; ++one) {
            disconnect(entry, one);
        }
        schedule(randomBetween(100ms, 3s), [this, entry] {
            startEntry(entry);
        });
    } else if (m_entries[entry].core) {
        m_entries[entry].pausedUntil = m_now + randomBetween(500ms, 5s);
    }
    const std::chrono::duration<double> gap(std::exponential_distribution<double>(m_faultRate)(m_random));
    schedule(std::chrono::duration_cast<std::chrono::microseconds>(gap), [this] {
        injectFault();
    });
}

void fault_simulation::run(int jobs)
{
    if (m_faultRate > 0) {
        schedule(1s, [this] {
            injectFault();
        });
    }
    for (int i = 0; i < jobs; ++i) {
        caller_job job;
        job.job.kind = "check";
        job.job.team = "team";
        const auto tasks = randomBetween(1us, 8us).count();
        for (std::int64_t task = 0; task < tasks; ++task) {
            job.job.payloads.push_back(std::to_string(i) + "/" + std::to_string(task));
        }
        m_jobs.push_back(job);
        schedule(randomBetween(0s, 50ms * jobs), [this, i] {
            requestTicket(static_cast<std::size_t>(i));
        });
    }
    schedule(50ms * jobs + 30s, [this] {
        m_faultsEnabled = false;
    });
    // Long enough for all deadlines and resubmissions, but shorter than the lifetime of a ticket.
    const mono_time end = m_now + 50ms * jobs + 120s;
    while (!m_events.empty() && m_events.begin()->first <= end) {
        const auto next = m_events.extract(m_events.begin());
        m_now = std::max(m_now, next.key());
        next.mapped()();
    }
    for (const auto &[number, request] : m_requests) {
        const std::uint64_t id = request.entryId;
        const bool isAlive = std::ranges::any_of(m_entries, [id](const entry_process &entry) {
            return entry.core && entry.id == id;
        });
        lostRequests += isAlive && !request.isAnswered ? 1 : 0;
    }
    for (const caller_job &job : m_jobs) {
        falseNotRun += job.sawFailedNotRun && m_runs.contains({job.job.source.id.incarnation, job.job.source.id.sequence}) ? 1 : 0;
    }
}

} // namespace teaselward
