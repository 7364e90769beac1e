#include "scenario/simulated_cluster.h"

#include <absl/strings/str_cat.h>

namespace teaselward::testing
{

simulated_cluster::simulated_cluster(const simulated_cluster_settings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_entryInfos(settings.entries)
    , m_agentInfos(settings.agents)
    , m_endpointModes(settings.agents, endpoint_mode::ok)
    , m_agentStarts(settings.agents, 0)
    , m_leavingSince(settings.agents, mono_time::max())
    , m_entryDrained(settings.entries, false)
    , m_agentDrained(settings.agents, false)
    , m_sessions(settings.entries * settings.agents)
    , m_rules(std::make_shared<const rule_set>(settings.rules))
{
    for (std::size_t i = 0; i < settings.entries; ++i) {
        m_entries.push_back(std::make_unique<entry_process>(m_queue, [this, i](entry_action &action) {
            (this->*EntryActionHandlers.at(action.index()))(i, action);
        }));
    }
    for (std::size_t i = 0; i < settings.agents; ++i) {
        m_agents.push_back(std::make_unique<agent_process>(m_queue, [this, i](agent_action &action) {
            (this->*AgentActionHandlers.at(action.index()))(i, action);
        }));
    }
    for (std::size_t i = 0; i < settings.entries; ++i) {
        startEntry(i);
    }
    for (std::size_t i = 0; i < settings.agents; ++i) {
        startAgent(i);
    }
    run(settings.reconnect * 2);
}

std::size_t simulated_cluster::addRequest(request_record record)
{
    record.sentAt = m_queue.now();
    m_requests.push_back(std::move(record));
    return m_requests.size() - 1;
}

std::vector<ticket> simulated_cluster::takeTickets(std::size_t entry, std::uint32_t count)
{
    m_issuedTickets.clear();
    m_entries.at(entry)->deliver(ticket_requested{request_id{request_origin::caller, 0}, count});
    return m_issuedTickets;
}

std::size_t simulated_cluster::submit(std::size_t entry, const job_request &job)
{
    request_record record;
    record.entry = entry;
    record.source = job.source;
    record.payloads = job.payloads;
    record.timeLimit = job.timeLimit;
    const std::size_t number = addRequest(std::move(record));
    m_requests[number].connectionLost = !m_entries.at(entry)->isAlive();
    m_entries[entry]->deliver(job_submitted{request_id{request_origin::caller, number}, job});
    return number;
}

std::size_t simulated_cluster::query(std::size_t entry, const ticket &source, std::chrono::milliseconds wait)
{
    request_record record;
    record.entry = entry;
    record.source = source;
    record.timeLimit = wait;
    const std::size_t number = addRequest(std::move(record));
    m_requests[number].connectionLost = !m_entries.at(entry)->isAlive();
    m_entries[entry]->deliver(job_queried{request_id{request_origin::caller, number}, source, wait});
    return number;
}

std::size_t simulated_cluster::cancel(std::size_t entry, const ticket &source)
{
    request_record record;
    record.entry = entry;
    record.source = source;
    const std::size_t number = addRequest(std::move(record));
    m_requests[number].connectionLost = !m_entries.at(entry)->isAlive();
    m_entries[entry]->deliver(job_cancelled{request_id{request_origin::caller, number}, source});
    return number;
}

const request_record &simulated_cluster::request(std::size_t number) const
{
    return m_requests.at(number);
}

void simulated_cluster::recordAnswer(std::size_t number, const job_answer &answer)
{
    request_record &record = m_requests.at(number);
    ++record.answers;
    record.answeredAt = m_queue.now();
    record.answer = answer;
}

void simulated_cluster::applyRules(const rule_set &rules)
{
    m_rules = std::make_shared<const rule_set>(rules);
    for (const auto &entry : m_entries) {
        entry->deliver(rules_applied{m_rules});
    }
}

void simulated_cluster::run(std::chrono::milliseconds duration)
{
    m_queue.runUntil(m_queue.now() + duration);
}

std::vector<std::string> simulated_cluster::violations() const
{
    return m_checker.violations(m_requests, m_queue.now());
}

const invariant_checker &simulated_cluster::checker() const
{
    return m_checker;
}

std::uint64_t simulated_cluster::random(std::uint64_t bound)
{
    return m_random() % bound;
}

bool simulated_cluster::isEntryDrained(std::size_t entry) const
{
    return m_entryDrained.at(entry);
}

bool simulated_cluster::isAgentDrained(std::size_t agent) const
{
    return m_agentDrained.at(agent);
}

std::size_t simulated_cluster::startsOn(std::size_t agent) const
{
    return m_agentStarts.at(agent);
}

void simulated_cluster::disableRevokeGuard()
{
    m_revokeGuardDisabled = true;
}

void simulated_cluster::disableIncarnationGuard()
{
    m_incarnationGuardDisabled = true;
}

void simulated_cluster::disableLeavingGuard()
{
    m_leavingGuardDisabled = true;
}

void simulated_cluster::disableFenceGuard()
{
    m_fenceGuardDisabled = true;
}

} // namespace teaselward::testing
