#include "agent/ledger.h"

#include <algorithm>
#include <iterator>

namespace teaselward
{

namespace
{

// Tombstones and fences prevent duplicate starts, so they may use this multiple of maxRecords.
constexpr std::size_t TombstoneSpaceFactor = 2;

// Delays wake-ups so that records expire in batches; otherwise each of them would wake an idle agent.
constexpr std::chrono::seconds ExpirySlack{1};

// Outcome of a task that was not started and never will be.
task_outcome notStartedOutcome()
{
    task_outcome outcome;
    outcome.verdict = task_verdict::notStarted;
    return outcome;
}

// Finds the record of one attempt of a task among those of its ticket.
template<typename Records>
auto findIn(Records &records, const task_id &id)
{
    return std::ranges::find_if(records, [&id](const ledger_record &record) {
        return record.index == id.index && record.attempt == id.attempt;
    });
}

} // namespace

ledger::ledger(std::chrono::milliseconds retention, std::uint32_t maxRecords, std::uint64_t maxResultBytes)
    : m_retention(retention)
    , m_maxRecords(maxRecords)
    , m_maxResultBytes(maxResultBytes)
{
}

const ledger_record *ledger::find(const task_id &id) const
{
    const auto ticket = m_tickets.find(id.ticket);
    if (ticket == m_tickets.end()) {
        return nullptr;
    }
    const auto &records = ticket->second.records;
    const auto found = findIn(records, id);
    return found == records.end() ? nullptr : &*found;
}

// Mutable variant of find().
ledger_record *ledger::findRecord(const task_id &id)
{
    return const_cast<ledger_record *>(find(id));
}

bool ledger::isFenced(const ticket_id &ticket) const
{
    const auto found = m_tickets.find(ticket);
    return found != m_tickets.end() && found->second.isFenced;
}

bool ledger::hasRoom() const
{
    return m_records < m_maxRecords && m_resultBytes < m_maxResultBytes;
}

// Checks whether another tombstone or fence can be recorded.
bool ledger::hasTombstoneSpace() const
{
    return m_records < m_maxRecords * TombstoneSpaceFactor;
}

void ledger::recordStart(const task_id &id)
{
    m_tickets[id.ticket].records.push_back({.index = id.index, .attempt = id.attempt, .state = agent_task_state::running, .outcome = {}});
    ++m_records;
}

void ledger::recordOutcome(const task_id &id, const task_outcome &outcome, mono_time now)
{
    ledger_record *record = findRecord(id);
    if (record == nullptr || record->state != agent_task_state::running) {
        return;
    }
    record->state = outcome.verdict == task_verdict::notStarted ? agent_task_state::notStarted : agent_task_state::finished;
    record->outcome = outcome;
    m_resultBytes += outcome.body.size();
    scheduleExpiry(id, false, now);
}

bool ledger::recordTombstone(const task_id &id, mono_time now)
{
    if (!hasTombstoneSpace()) {
        return false;
    }
    m_tickets[id.ticket].records.push_back({.index = id.index, .attempt = id.attempt, .state = agent_task_state::notStarted, .outcome = notStartedOutcome()});
    ++m_records;
    scheduleExpiry(id, false, now);
    return true;
}

bool ledger::fence(const ticket_id &ticket, mono_time now)
{
    if (isFenced(ticket)) {
        return true;
    }
    if (!hasTombstoneSpace()) {
        return false;
    }
    m_tickets[ticket].isFenced = true;
    ++m_records;
    scheduleExpiry({.ticket = ticket, .index = 0}, true, now);
    return true;
}

agent_task_status ledger::taskStatus(const task_id &id) const
{
    const ledger_record *record = find(id);
    if (record == nullptr) {
        return {.id = id, .state = agent_task_state::notStarted, .outcome = notStartedOutcome()};
    }
    return {.id = id, .state = record->state, .outcome = record->outcome};
}

std::vector<agent_task_status> ledger::ticketStatus(const ticket_id &ticket) const
{
    std::vector<agent_task_status> all;
    const auto found = m_tickets.find(ticket);
    if (found != m_tickets.end()) {
        all.reserve(found->second.records.size());
        for (const ledger_record &record : found->second.records) {
            all.push_back({.id = {.ticket = ticket, .index = record.index, .attempt = record.attempt}, .state = record.state, .outcome = record.outcome});
        }
    }
    return all;
}

// Starts the retention of a record or a fence.
void ledger::scheduleExpiry(const task_id &id, bool isFence, mono_time now)
{
    m_expiries.push_back({.due = now + m_retention, .id = id, .isFence = isFence});
}

void ledger::expire(mono_time now)
{
    while (!m_expiries.empty() && m_expiries.front().due <= now) {
        drop(m_expiries.front());
        m_expiries.pop_front();
    }
}

// Removes a record or fence, and the ticket if nothing else is recorded for it.
void ledger::drop(const ledger_expiry &expiry)
{
    const auto ticket = m_tickets.find(expiry.id.ticket);
    if (ticket == m_tickets.end()) {
        return;
    }
    auto &records = ticket->second.records;
    if (expiry.isFence) {
        ticket->second.isFenced = false;
        --m_records;
    } else if (const auto found = findIn(records, expiry.id); found != records.end()) {
        m_resultBytes -= found->outcome.body.size();
        *found = std::move(records.back());
        records.pop_back();
        --m_records;
    }
    if (records.empty() && !ticket->second.isFenced) {
        m_tickets.erase(ticket);
    }
}

mono_time ledger::nextDue() const
{
    return m_expiries.empty() ? mono_time::max() : m_expiries.front().due + ExpirySlack;
}

std::size_t ledger::size() const
{
    return m_records;
}

} // namespace teaselward
