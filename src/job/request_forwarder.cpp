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

// Failed attempts after which a home is considered gone, provided that it was also unreachable for a session lease. A shorter
// interruption must not lead to a fence, which would end the jobs of a live home.
constexpr std::uint32_t LostHomeAttempts = 3;

// Ratio of the longest to the first retry delay.
constexpr int MaxDelayFactor = 8;

// Time limit of the retries if neither the submission nor the rules give one.
constexpr std::chrono::milliseconds DefaultDeadline{10000};

// Delay suggested to callers whose home entry is unreachable.
constexpr std::chrono::milliseconds HomeRetryDelay{1000};

// Limit of the homes whose failures are tracked. There are few entries, so with more the records are stale and are cleared.
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

// Sends a request to its home, or handles the loss of the home if it is known to be gone.
void request_forwarder::forward(const request_id &request, forward_record record)
{
    const ticket &source = record.job.source;
    if (request.origin == request_origin::peer) {
        // The sending entry considers this entry the home; forwarding again could cause a loop.
        m_context.reply(request, source.id, refusal(reason::homeUnreachable, HomeRetryDelay));
        return;
    }
    // A ticket with the address of this entry but another incarnation was issued before this process was restarted.
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

// Emits the action that sends the call.
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

// Counts an attempt that failed to reach a home. Returns whether the home is now considered gone.
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

// Starts a recovery for a submission. Queries and cancellations do not carry the number of tasks, so they only use an existing one.
void request_forwarder::handleLostHome(const request_id &request, const forward_record &record)
{
    const ticket &source = record.job.source;
    if (m_context.log.isEnabled()) {
        m_context.log.write(log_part::route, concat("Home entry of a ticket is gone. ", ticketLogField(source.id), " home=", source.home));
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
