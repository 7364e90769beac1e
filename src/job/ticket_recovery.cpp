#include "job/ticket_recovery.h"

#include "core/concat.h"
#include "core/reason_text.h"
#include "core/task_log_fields.h"
#include "job/refusal.h"

#include <algorithm>
#include <utility>

namespace teaselward
{

namespace
{

// Limits the load on the agents when an entry dies, since each recovery sends a message to every agent.
constexpr std::size_t MaxRecoveries = 256;

// Delay suggested to callers while no recovery can be started.
constexpr std::chrono::milliseconds RecoveryRetryDelay{1000};

// Time limit of a recovery if neither the submission nor the rules give one.
constexpr std::chrono::milliseconds DefaultDeadline{10000};

// Ratio of the longest to the first delay between two fences of one ticket.
constexpr int MaxDelayFactor = 32;

// Recovered answers are few, so they may use a quarter of the memory limit for jobs.
constexpr std::uint64_t MemoryDivisor = 4;

} // namespace

ticket_recovery::ticket_recovery(entry_context &context)
    : m_context(context)
    , m_recovered(context.settings.ticketLifetime, context.settings.maxJobBytes / MemoryDivisor)
{
}

void ticket_recovery::recover(const request_id &request, const job_request &job)
{
    const ticket_id &ticket = job.source.id;
    const request_digest digest = digestOf(job);
    if (const recovered_job *kept = m_recovered.find(ticket); kept != nullptr) {
        m_context.reply(request, ticket, kept->digest == digest ? kept->answer.unpack() : refusal(reason::ticketReused));
        return;
    }
    if (const auto found = m_recoveries.find(ticket); found != m_recoveries.end()) {
        if (found->second->digest == digest) {
            found->second->waiters.push_back(request);
        } else {
            m_context.reply(request, ticket, refusal(reason::ticketReused));
        }
        return;
    }
    const std::vector<agent_id> agents = m_context.slots.agents();
    if (agents.empty() || job.payloads.empty() || m_recoveries.size() >= MaxRecoveries || !m_recovered.hasRoom()) {
        m_context.reply(request, ticket, refusal(job.payloads.empty() ? reason::malformed : reason::homeUnreachable, RecoveryRetryDelay));
        return;
    }
    create(request, job, digest, agents);
}

// Starts a recovery by fencing every known agent.
void ticket_recovery::create(const request_id &request, const job_request &job, const request_digest &digest, const std::vector<agent_id> &agents)
{
    const ticket_id &ticket = job.source.id;
    const auto first = m_context.settings.revokeRetryDelay;
    auto created = std::make_unique<recovery>(ticket, backoff(first, first * MaxDelayFactor));
    std::chrono::milliseconds limit = job.timeLimit;
    if (limit.count() <= 0) {
        const bool isKnown = m_context.rules && m_context.rules->kinds.contains(job.kind);
        limit = isKnown ? m_context.rules->kinds.find(job.kind)->second.timeLimit : DefaultDeadline;
    }
    created->digest = digest;
    created->deadline = m_context.now + limit;
    created->timer = m_timers.schedule(created->deadline, ticket);
    created->waiters.push_back(request);
    created->results.resize(job.payloads.size());
    created->missing = job.payloads.size();
    if (m_context.log.isEnabled()) {
        m_context.log.write(log_part::route, concat("Recovering a ticket whose home entry is gone. ", ticketLogField(ticket), " agents=", agents.size()));
    }
    recovery &added = *(m_recoveries[ticket] = std::move(created));
    for (const agent_id &agent : agents) {
        fence(added, agent);
    }
}

bool ticket_recovery::answer(const request_id &request, const ticket_id &ticket)
{
    if (const recovered_job *kept = m_recovered.find(ticket); kept != nullptr) {
        m_context.reply(request, ticket, kept->answer.unpack());
        return true;
    }
    if (m_recoveries.contains(ticket)) {
        job_answer running;
        running.state = job_state::running;
        m_context.reply(request, ticket, std::move(running));
        return true;
    }
    return false;
}

bool ticket_recovery::isKnown(const ticket_id &ticket) const
{
    return m_recoveries.contains(ticket) || m_recovered.find(ticket) != nullptr;
}

// Sends a fence to one agent.
void ticket_recovery::fence(recovery &found, const agent_id &agent)
{
    found.pending[agent] = fence_state::sent;
    m_context.actions->push_back(fence_ticket{.agent = agent, .ticket = found.ticket});
}

void ticket_recovery::fenced(const agent_id &agent, const ticket_id &ticket, bool answered, std::vector<agent_task_status> held)
{
    const auto found = m_recoveries.find(ticket);
    if (found == m_recoveries.end() || !found->second->pending.contains(agent)) {
        return;
    }
    recovery &active = *found->second;
    const bool isRunning = std::ranges::any_of(held, [](const agent_task_status &task) {
        return task.state == agent_task_state::running;
    });
    if (answered && !active.collect(std::move(held))) {
        fail(active, reason::taskFailed);
        return;
    }
    if (answered && !isRunning) {
        active.pending.erase(agent);
    } else {
        active.pending[agent] = fence_state::retryPending;
        const mono_time next = std::min(active.deadline, m_context.now + active.delays.next(m_context.random));
        m_timers.cancel(active.timer);
        active.timer = m_timers.schedule(next, ticket);
    }
    settleIfDecided(active);
}

// Answers once all results are there, or once no agent can return another one.
void ticket_recovery::settleIfDecided(recovery &found)
{
    if (found.missing == 0) {
        job_answer answer;
        answer.state = job_state::complete;
        answer.results.reserve(found.results.size());
        for (std::optional<std::string> &result : found.results) {
            answer.results.push_back(*std::move(result));
        }
        settle(found, answer);
    } else if (found.pending.empty()) {
        fail(found, reason::outcomeUnknown);
    }
}

// Answers a recovery as failed; it never says "not run".
void ticket_recovery::fail(recovery &found, reason why)
{
    job_answer answer;
    answer.state = job_state::failed;
    answer.why = why;
    settle(found, answer);
}

// Sends the final answer to all waiting requests and keeps it. The recovery is destroyed.
void ticket_recovery::settle(recovery &found, const job_answer &answer)
{
    const ticket_id ticket = found.ticket;
    if (m_context.log.isEnabled()) {
        m_context.log.write(log_part::job, concat("Recovered a ticket. ", ticketLogField(ticket), " reason=", reasonText(answer.why)));
    }
    m_timers.cancel(found.timer);
    for (const request_id &request : found.waiters) {
        m_context.reply(request, ticket, answer);
    }
    m_recovered.keep(ticket, {.digest = found.digest, .answer = packed_answer(answer)}, m_context.now);
    m_recoveries.erase(ticket);
}

// Returns a copy of the ticket ids, since recoveries may end during iteration.
std::vector<ticket_id> ticket_recovery::tickets() const
{
    std::vector<ticket_id> all;
    all.reserve(m_recoveries.size());
    for (const auto &[ticket, active] : m_recoveries) {
        all.push_back(ticket);
    }
    return all;
}

void ticket_recovery::agentJoined(const agent_id &agent)
{
    for (const auto &[ticket, active] : m_recoveries) {
        fence(*active, agent);
    }
}

void ticket_recovery::incarnationGone(const agent_id &agent)
{
    for (const ticket_id &ticket : tickets()) {
        recovery &active = *m_recoveries.at(ticket);
        if (active.pending.erase(agent) > 0) {
            settleIfDecided(active);
        }
    }
}

void ticket_recovery::runTimers()
{
    m_recovered.expire(m_context.now);
    while (const auto ticket = m_timers.takeDue(m_context.now)) {
        recovery &active = *m_recoveries.at(*ticket);
        active.timer = m_timers.schedule(active.deadline, *ticket);
        if (m_context.now >= active.deadline) {
            fail(active, reason::outcomeUnknown);
        } else {
            repeat(active);
        }
    }
}

// Repeats the fence at the agents that did not answer or still ran a task.
void ticket_recovery::repeat(recovery &found)
{
    for (auto &[agent, state] : found.pending) {
        if (state == fence_state::retryPending) {
            state = fence_state::sent;
            m_context.actions->push_back(fence_ticket{.agent = agent, .ticket = found.ticket});
        }
    }
}

mono_time ticket_recovery::nextDue() const
{
    return m_timers.nextDue();
}

std::size_t ticket_recovery::size() const
{
    return m_recoveries.size();
}

} // namespace teaselward
