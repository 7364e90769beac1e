#include "job/request_forwarder.h"

#include "core/concat.h"
#include "core/task_log_fields.h"
#include "job/refusal.h"

#include <algorithm>
#include <utility>

namespace teaselward
{

namespace
{

// Tries after which a home counts as gone, if it also was out of reach for the lease of a session. A shorter interruption
// must not end its jobs by a fence.
constexpr std::uint32_t LostHomeAttempts = 3;

// Longest delay between two tries, in first delays.
constexpr int MaxDelayFactor = 8;

// Time for the tries if neither the submission nor the rules name one.
constexpr std::chrono::milliseconds DefaultDeadline{10000};

// Time after which a caller may try again.
constexpr std::chrono::milliseconds HomeRetryDelay{1000};

// Homes whose failures are counted; entries are few, so more are stale.
constexpr std::size_t MaxTrackedHomes = 1024;

} // namespace

request_forwarder::request_forwarder(entry_context &context, ticket_recovery &recoveries)
    : m_context(context)
    , m_recoveries(recoveries)
{
}

void request_forwarder::forwardJob(const request_id &request, job_request job)
{
    std::chrono::milliseconds limit = job.timeLimit;
    if (limit.count() <= 0) {
        const bool isKnown = m_context.rules && m_context.rules->kinds.contains(job.kind);
        limit = isKnown ? m_context.rules->kinds.find(job.kind)->second.timeLimit : DefaultDeadline;
    }
    const auto first = m_context.settings.revokeRetryDelay;
    forward(request,
            {.kind = forward_kind::submission,
             .job = std::move(job),
             .wait = {},
             .deadline = m_context.now + limit,
             .delays = backoff(first, first * MaxDelayFactor)});
}

void request_forwarder::forwardQuery(const request_id &request, const ticket &source, std::chrono::milliseconds wait)
{
    const auto first = m_context.settings.revokeRetryDelay;
    forward_record record{
        .kind = forward_kind::query, .job = {}, .wait = wait, .deadline = m_context.now + DefaultDeadline, .delays = backoff(first, first * MaxDelayFactor)};
    record.job.source = source;
    forward(request, std::move(record));
}

void request_forwarder::forwardCancel(const request_id &request, const ticket &source)
{
    const auto first = m_context.settings.revokeRetryDelay;
    forward_record record{.kind = forward_kind::cancellation,
                          .job = {},
                          .wait = {},
                          .deadline = m_context.now + DefaultDeadline,
                          .delays = backoff(first, first * MaxDelayFactor)};
    record.job.source = source;
    forward(request, std::move(record));
}

// Sends a request to its home, or to the recovery if the home is known to be gone.
void request_forwarder::forward(const request_id &request, forward_record record)
{
    const ticket &source = record.job.source;
    if (request.origin == request_origin::peer) {
        // The sender takes this entry for the home; another hop could not help it.
        m_context.reply(request, source.id, refusal(reason::homeUnreachable, HomeRetryDelay));
        return;
    }
    // The address of this entry with another incarnation means that the home was restarted as this process.
    if (source.home == m_context.settings.self.address || m_recoveries.isKnown(source.id)) {
        handleLostHome(request, record);
        return;
    }
    if (m_context.log.isEnabled()) {
        m_context.log.write(log_part::route, concat("Forwarded a request. ", ticketLogField(source.id), " home=", source.home));
    }
    const auto [added, isNew] = m_forwards.insert_or_assign(request, std::move(record));
    send(request, added->second);
}

// Hands the call to the adapter.
void request_forwarder::send(const request_id &request, const forward_record &record)
{
    switch (record.kind) {
    case forward_kind::submission:
        m_context.actions->push_back(forward_job{.request = request, .job = record.job});
        break;
    case forward_kind::query:
        m_context.actions->push_back(forward_query{.request = request, .source = record.job.source, .wait = record.wait});
        break;
    case forward_kind::cancellation:
        m_context.actions->push_back(forward_cancel{.request = request, .source = record.job.source});
        break;
    }
}

void request_forwarder::answered(const request_id &request, bool reached, bool otherIncarnation, job_answer answer)
{
    const auto found = m_forwards.find(request);
    if (found == m_forwards.end()) {
        return;
    }
    forward_record &record = found->second;
    const ticket_id ticket = record.job.source.id;
    if (reached && !otherIncarnation) {
        m_failures.erase(ticket.incarnation);
        m_forwards.erase(found);
        m_context.reply(request, ticket, std::move(answer));
        return;
    }
    if (otherIncarnation || recordFailure(ticket.incarnation)) {
        const forward_record taken = std::move(record);
        m_forwards.erase(found);
        handleLostHome(request, taken);
        return;
    }
    const auto delay = record.delays.next(m_context.random);
    if (m_context.now + delay < record.deadline) {
        m_retries.schedule(m_context.now + delay, request);
        return;
    }
    m_forwards.erase(found);
    m_context.reply(request, ticket, refusal(reason::homeUnreachable, HomeRetryDelay));
}

// Counts a try that did not reach a home, and tells whether the home counts as gone.
bool request_forwarder::recordFailure(std::uint64_t incarnation)
{
    if (m_failures.size() >= MaxTrackedHomes && !m_failures.contains(incarnation)) {
        m_failures.clear();
    }
    home_failures &failures = m_failures[incarnation];
    if (failures.count++ == 0) {
        failures.since = m_context.now;
    }
    return failures.count >= LostHomeAttempts && m_context.now - failures.since >= m_context.settings.sessionLease;
}

// Recovers the ticket of a submission. A query or a cancellation does not know the number of tasks, so it starts no recovery.
void request_forwarder::handleLostHome(const request_id &request, const forward_record &record)
{
    const ticket &source = record.job.source;
    if (m_context.log.isEnabled()) {
        m_context.log.write(log_part::route, concat("The home of a ticket is gone. ", ticketLogField(source.id), " home=", source.home));
    }
    if (record.kind == forward_kind::submission) {
        m_recoveries.recover(request, record.job);
    } else if (!m_recoveries.answer(request, source.id)) {
        m_context.reply(request, source.id, refusal(reason::homeUnreachable, HomeRetryDelay));
    }
}

void request_forwarder::runTimers()
{
    while (const auto request = m_retries.takeDue(m_context.now)) {
        if (const auto found = m_forwards.find(*request); found != m_forwards.end()) {
            send(*request, found->second);
        }
    }
}

mono_time request_forwarder::nextDue() const
{
    return m_retries.nextDue();
}

std::size_t request_forwarder::size() const
{
    return m_forwards.size();
}

} // namespace teaselward
