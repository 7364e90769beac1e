#include "job/job_table.h"

#include <algorithm>
#include <utility>

namespace teaselward
{

namespace
{

// Delays expiry so that answers are dropped in batches and an idle entry is not woken for each of them.
constexpr std::chrono::seconds ExpirySlack{1};

} // namespace

job_table::job_table(std::chrono::milliseconds lifetime, std::chrono::milliseconds minRetention, std::uint32_t maxJobs, std::uint64_t maxBytes)
    : m_lifetime(lifetime)
    , m_minRetention(minRetention)
    , m_maxJobs(maxJobs)
    , m_maxBytes(maxBytes)
    , m_evicted(lifetime)
{
}

bool job_table::hasRoom() const
{
    return m_running.size() + m_joined.size() + m_answered.size() < m_maxJobs && m_bytes < m_maxBytes;
}

bool job_table::makeRoom(mono_time now)
{
    while (!hasRoom() && !m_expiries.empty() && m_expiries.front().due - m_lifetime + m_minRetention <= now) {
        m_evicted.add(m_expiries.front().sequence, now);
        drop(m_expiries.front().sequence);
        m_expiries.pop_front();
    }
    return hasRoom();
}

bool job_table::wasEvicted(std::uint64_t sequence) const
{
    return m_evicted.contains(sequence);
}

job_record &job_table::add(std::unique_ptr<job_record> job)
{
    m_bytes += job->bytes;
    return *(m_running[job->sequence] = std::move(job));
}

job_record *job_table::findRunning(std::uint64_t sequence)
{
    const auto found = m_running.find(sequence);
    return found == m_running.end() ? nullptr : found->second.get();
}

job_record *job_table::findWaitedBy(const request_id &request)
{
    for (const auto &[sequence, job] : m_running) {
        if (std::ranges::any_of(job->waiters, [&request](const job_waiter &waiter) {
                return waiter.request == request;
            })) {
            return job.get();
        }
    }
    return nullptr;
}

const answered_job *job_table::findAnswered(std::uint64_t sequence) const
{
    const auto found = m_answered.find(sequence);
    return found == m_answered.end() ? nullptr : &found->second;
}

const joined_ticket *job_table::findJoined(std::uint64_t sequence) const
{
    const auto found = m_joined.find(sequence);
    return found == m_joined.end() ? nullptr : &found->second;
}

void job_table::join(std::uint64_t sequence, const request_digest &digest, std::uint64_t target, mono_time now)
{
    if (job_record *job = findRunning(target); job != nullptr) {
        job->joined.push_back(sequence);
        m_joined[sequence] = {.digest = digest, .target = target};
    } else if (const answered_job *kept = findAnswered(target); kept != nullptr) {
        keep(sequence, {.digest = digest, .answer = kept->answer}, now);
    }
}

void job_table::settle(std::uint64_t sequence, const job_answer &answer, mono_time now)
{
    const auto found = m_running.find(sequence);
    if (found == m_running.end()) {
        return;
    }
    const std::unique_ptr<job_record> job = std::move(found->second);
    m_running.erase(found);
    m_bytes -= job->bytes;
    const auto packed = std::make_shared<const packed_answer>(answer);
    keep(sequence, {.digest = job->digest, .answer = packed}, now);
    for (const std::uint64_t joined : job->joined) {
        const auto ticket = m_joined.find(joined);
        keep(joined, {.digest = ticket->second.digest, .answer = packed}, now);
        m_joined.erase(ticket);
    }
}

// Keeps an answer for the lifetime of a ticket.
void job_table::keep(std::uint64_t sequence, answered_job job, mono_time now)
{
    m_bytes += job.answer->size();
    m_answered[sequence] = std::move(job);
    std::deque<job_expiry> &expiries = m_keys.hasKey(sequence) ? m_keyedExpiries : m_expiries;
    expiries.push_back({.due = now + m_lifetime, .sequence = sequence});
}

void job_table::expire(mono_time now)
{
    expire(m_expiries, now);
    expire(m_keyedExpiries, now);
    m_evicted.expire(now);
}

// Drops the expired answers of one list.
void job_table::expire(std::deque<job_expiry> &expiries, mono_time now)
{
    while (!expiries.empty() && expiries.front().due <= now) {
        drop(expiries.front().sequence);
        expiries.pop_front();
    }
}

// Removes an answer and its client key.
void job_table::drop(std::uint64_t sequence)
{
    const auto found = m_answered.find(sequence);
    m_bytes -= found->second.answer->size();
    m_answered.erase(found);
    m_keys.remove(sequence);
}

mono_time job_table::nextDue() const
{
    mono_time due = mono_time::max() - ExpirySlack;
    for (const auto *expiries : {&m_expiries, &m_keyedExpiries}) {
        due = expiries->empty() ? due : std::min(due, expiries->front().due);
    }
    return due + ExpirySlack;
}

key_index &job_table::keys()
{
    return m_keys;
}

std::vector<std::uint64_t> job_table::running() const
{
    std::vector<std::uint64_t> sequences;
    sequences.reserve(m_running.size());
    for (const auto &[sequence, job] : m_running) {
        sequences.push_back(sequence);
    }
    std::ranges::sort(sequences); // In a defined order, so that a seed replays exactly.
    return sequences;
}

std::size_t job_table::runningCount() const
{
    return m_running.size();
}

std::size_t job_table::keptCount() const
{
    return m_answered.size();
}

} // namespace teaselward
