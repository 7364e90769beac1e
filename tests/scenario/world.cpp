#include "scenario/world.h"

#include <absl/strings/str_cat.h>

namespace teaselward::testing
{

world::world(const world_settings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_entryInfos(settings.entries)
    , m_agentInfos(settings.agents)
    , m_modes(settings.agents, endpoint_mode::ok)
    , m_agentStarts(settings.agents, 0)
    , m_leavingSince(settings.agents, mono_time::max())
    , m_drained(settings.entries, false)
    , m_agentDrained(settings.agents, false)
    , m_sessions(settings.entries * settings.agents)
    , m_rules(std::make_shared<const rule_set>(settings.rules))
{
    for (std::size_t i = 0; i < settings.entries; ++i) {
        m_entries.push_back(std::make_unique<entry_node>(m_heap, [this, i](entry_action &action) {
            (this->*EntryPerformers.at(action.index()))(i, action);
        }));
    }
    for (std::size_t i = 0; i < settings.agents; ++i) {
        m_agents.push_back(std::make_unique<agent_node>(m_heap, [this, i](agent_action &action) {
            (this->*AgentPerformers.at(action.index()))(i, action);
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

std::size_t world::addRequest(request_record record)
{
    record.sentAt = m_heap.now();
    m_requests.push_back(std::move(record));
    return m_requests.size() - 1;
}

std::vector<ticket> world::takeTickets(std::size_t entry, std::uint32_t count)
{
    m_issued.clear();
    m_entries.at(entry)->deliver(ticket_requested{request_id{request_origin::caller, 0}, count});
    return m_issued;
}

std::size_t world::submit(std::size_t entry, const job_request &job)
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

std::size_t world::query(std::size_t entry, const ticket &source, std::chrono::milliseconds wait)
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

std::size_t world::cancel(std::size_t entry, const ticket &source)
{
    request_record record;
    record.entry = entry;
    record.source = source;
    const std::size_t number = addRequest(std::move(record));
    m_requests[number].connectionLost = !m_entries.at(entry)->isAlive();
    m_entries[entry]->deliver(job_cancelled{request_id{request_origin::caller, number}, source});
    return number;
}

const request_record &world::request(std::size_t number) const
{
    return m_requests.at(number);
}

void world::tellCaller(std::size_t number, const job_answer &answer)
{
    request_record &record = m_requests.at(number);
    ++record.answers;
    record.answeredAt = m_heap.now();
    record.answer = answer;
}

void world::applyRules(const rule_set &rules)
{
    m_rules = std::make_shared<const rule_set>(rules);
    for (const auto &entry : m_entries) {
        entry->deliver(rules_applied{m_rules});
    }
}

void world::run(std::chrono::milliseconds duration)
{
    m_heap.runUntil(m_heap.now() + duration);
}

std::vector<std::string> world::violations() const
{
    return m_checker.violations(m_requests, m_heap.now());
}

const checker &world::record() const
{
    return m_checker;
}

std::uint64_t world::random(std::uint64_t bound)
{
    return m_random() % bound;
}

bool world::isDrained(std::size_t entry) const
{
    return m_drained.at(entry);
}

bool world::isAgentDrained(std::size_t agent) const
{
    return m_agentDrained.at(agent);
}

std::size_t world::startsAt(std::size_t agent) const
{
    return m_agentStarts.at(agent);
}

void world::answerRevokesUnasked()
{
    m_revokesUnasked = true;
}

void world::forgetLedgers()
{
    m_ledgersForgotten = true;
}

void world::keepLeavingSilent()
{
    m_leavingSilent = true;
}

void world::answerFencesUnasked()
{
    m_fencesUnasked = true;
}

} // namespace teaselward::testing
