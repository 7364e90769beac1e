#include "job/job_manager.h"

#include "core/concat.h"
#include "core/reason_text.h"
#include "core/task_text.h"
#include "job/refusal.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace teaselward
{

namespace
{

// A caller needs one request for a job, and a few more if it believes the job lost.
constexpr std::size_t MaxWaiters = 64;

// Settled jobs are dropped after the lifetime of a ticket, so room comes back steadily.
constexpr std::chrono::milliseconds RoomRetry{1000};

} // namespace

job_manager::job_manager(entry_context &context, const ticket_book &tickets)
    : m_context(context)
    , m_tickets(tickets)
    , m_table(context.settings.ticketLifetime, context.settings.maxJobs, context.settings.maxJobBytes)
{
}

// A ticket that is already in use is answered before anything that could refuse a new job.
void job_manager::submit(const request_id &request, job_request job)
{
    const reason verdict = m_tickets.check(job.source, m_context.now);
    if (verdict == reason::badTicket) {
        reply(request, job.source.id, refusal(verdict));
        return;
    }
    if (answerKnown(request, job)) {
        return;
    }
    if (verdict != reason::none) {
        reply(request, job.source.id, refusal(verdict));
        return;
    }
    const request_digest digest = digestOf(job);
    if (joinByKey(request, job, digest)) {
        return;
    }
    if (std::optional<job_answer> refused = refuse(job); refused) {
        if (m_context.log.isEnabled()) {
            m_context.log.write(
                log_part::admit,
                concat("Refused a job. ", ticketText(job.source.id), " kind=", job.kind, " team=", job.team, " reason=", reasonText(refused->why)));
        }
        reply(request, job.source.id, *std::move(refused));
        return;
    }
    create(request, std::move(job), digest);
}

// Answers a resubmission of a ticket that is in use.
bool job_manager::answerKnown(const request_id &request, const job_request &job)
{
    const std::uint64_t sequence = job.source.id.sequence;
    const kept_job *kept = m_table.findKept(sequence);
    const joined_ticket *joined = m_table.findJoined(sequence);
    job_record *running = findRunningOrJoined(sequence);
    if (kept == nullptr && running == nullptr) {
        return false;
    }
    const request_digest &digest = kept != nullptr ? kept->digest : joined != nullptr ? joined->digest : running->digest;
    if (digest != digestOf(job)) {
        reply(request, job.source.id, refusal(reason::ticketReused));
    } else if (kept != nullptr) {
        reply(request, job.source.id, kept->answer->unpack());
    } else {
        addWaiter(*running, request, job.source.id, std::nullopt);
    }
    return true;
}

// Joins a second ticket with the same client key to the first job, whatever the state of that job.
bool job_manager::joinByKey(const request_id &request, const job_request &job, const request_digest &digest)
{
    const auto first = m_table.keys().find(job.team, job.kind, job.key);
    if (!first) {
        return false;
    }
    m_table.join(job.source.id.sequence, digest, *first, m_context.now);
    if (m_context.log.isEnabled()) {
        m_context.log.write(log_part::job, concat("Joined a ticket by its client key. ", ticketText(job.source.id), " first=", *first));
    }
    return answerKnown(request, job);
}

// Decides whether a new job is refused. Nothing of it has been started then.
std::optional<job_answer> job_manager::refuse(const job_request &job)
{
    if (m_context.isDraining) {
        return refusal(reason::draining);
    }
    if (!m_context.rules || !m_context.rules->kinds.contains(job.kind)) {
        return refusal(reason::unknownKind);
    }
    const kind_rule &rule = m_context.rules->kinds.find(job.kind)->second;
    if (job.payloads.empty() || job.payloads.size() > rule.taskLimit || job.timeLimit.count() < 0) {
        return refusal(reason::malformed);
    }
    if (!m_table.hasRoom()) {
        return refusal(reason::overloaded, RoomRetry);
    }
    const std::size_t slots = m_context.slots.slots(job.kind);
    if (slots == 0) {
        return refusal(reason::noEndpoint, RoomRetry);
    }
    const admission_result admitted = m_context.queue.admit(job, slots, m_context.now);
    return admitted.why == reason::none ? std::nullopt : std::optional(refusal(admitted.why, admitted.retryAfter));
}

// Creates an admitted job and queues its tasks.
void job_manager::create(const request_id &request, job_request job, const request_digest &digest)
{
    const kind_rule &rule = m_context.rules->kinds.find(job.kind)->second;
    const std::uint64_t sequence = job.source.id.sequence;
    auto created = std::make_unique<job_record>();
    created->sequence = sequence;
    created->digest = digest;
    created->deadline = m_context.now + (job.timeLimit.count() > 0 ? job.timeLimit : rule.timeLimit);
    created->deadlineTimer = m_deadlines.schedule(created->deadline, sequence);
    created->unfinished = job.payloads.size();
    created->queued = job.payloads.size();
    created->bytes = sizeof(job_record);
    created->tasks.reserve(job.payloads.size());
    for (std::string &payload : job.payloads) {
        created->bytes += sizeof(task_record) + payload.size();
        created->tasks.push_back({.state = task_state::queued, .placements = 0, .payload = std::move(payload), .result = {}});
    }
    m_table.keys().add(job.team, job.kind, job.key, sequence);
    job_record &record = m_table.add(std::move(created));
    addWaiter(record, request, job.source.id, std::nullopt);
    if (m_context.log.isEnabled()) {
        m_context.log.write(log_part::admit,
                            concat("Admitted a job. ", ticketText(job.source.id), " kind=", job.kind, " team=", job.team, " tasks=", record.tasks.size()));
    }
    for (std::uint32_t index = 0; index < record.tasks.size(); ++index) {
        m_context.queue.push({.id = {.ticket = job.source.id, .index = index}, .kind = job.kind, .team = job.team, .deadline = record.deadline}, m_context.now);
    }
}

void job_manager::query(const request_id &request, const ticket &source, std::chrono::milliseconds wait)
{
    const reason verdict = m_tickets.check(source, m_context.now);
    if (const kept_job *kept = m_table.findKept(source.id.sequence); kept != nullptr) {
        reply(request, source.id, kept->answer->unpack());
    } else if (job_record *job = findRunningOrJoined(source.id.sequence); job != nullptr) {
        addWaiter(*job, request, source.id, wait);
    } else {
        reply(request, source.id, refusal(verdict == reason::none ? reason::unknownJob : verdict));
    }
}

// Cancels a running job; all who wait for it, the cancelling request included, get its answer.
void job_manager::cancel(const request_id &request, const ticket &source)
{
    job_record *job = findRunningOrJoined(source.id.sequence);
    if (job == nullptr) {
        query(request, source, {});
        return;
    }
    job->waiters.push_back({.request = request, .ticket = source.id, .timer = std::nullopt});
    fail(*job, reason::cancelled);
}

job_record *job_manager::findRunning(const ticket_id &id)
{
    return id.incarnation == m_context.settings.self.id.value ? m_table.findRunning(id.sequence) : nullptr;
}

// Finds the running job of a ticket, be it its own or one that a client key joined it to.
job_record *job_manager::findRunningOrJoined(std::uint64_t sequence)
{
    const joined_ticket *joined = m_table.findJoined(sequence);
    return m_table.findRunning(joined != nullptr ? joined->target : sequence);
}

// Lets a request wait for the answer of a running job, for a limited time if one is given.
void job_manager::addWaiter(job_record &job, const request_id &request, const ticket_id &ticket, std::optional<std::chrono::milliseconds> wait)
{
    if (wait && wait->count() <= 0) {
        job_answer running;
        running.state = job_state::running;
        reply(request, ticket, std::move(running));
        return;
    }
    if (job.waiters.size() >= MaxWaiters) {
        job_answer busy = refusal(reason::overloaded, RoomRetry);
        busy.notRun = false;
        reply(request, ticket, std::move(busy));
        return;
    }
    job_waiter waiter{.request = request, .ticket = ticket, .timer = std::nullopt};
    if (wait) {
        waiter.timer = m_waits.schedule(m_context.now + *wait, {.sequence = job.sequence, .request = request});
    }
    job.waiters.push_back(waiter);
}

void job_manager::finishTask(job_record &job, std::uint32_t index, std::string result)
{
    task_record &task = job.tasks.at(index);
    task.state = task_state::succeeded;
    task.result = std::move(result);
    task.payload = std::string();
    if (--job.unfinished > 0) {
        return;
    }
    job_answer answer;
    answer.state = job_state::complete;
    answer.results.reserve(job.tasks.size());
    for (task_record &one : job.tasks) {
        answer.results.push_back(std::move(one.result));
    }
    settle(job, std::move(answer));
}

void job_manager::fail(job_record &job, reason why)
{
    job_answer answer;
    answer.state = job_state::failed;
    answer.why = why;
    answer.notRun = job.started == 0;
    settle(job, std::move(answer));
}

// Answers everyone who waits for the job and keeps the answer. The job is gone afterwards.
void job_manager::settle(job_record &job, job_answer answer)
{
    const std::uint64_t sequence = job.sequence;
    const ticket_id id{.incarnation = m_context.settings.self.id.value, .sequence = sequence};
    if (m_context.log.isEnabled()) {
        m_context.log.write(log_part::job,
                            concat(answer.state == job_state::complete ? "Completed a job. " : "Failed a job. ",
                                   ticketText(id),
                                   " reason=",
                                   reasonText(answer.why),
                                   " not_run=",
                                   answer.notRun));
    }
    m_deadlines.cancel(job.deadlineTimer);
    if (job.queued > 0) {
        m_context.queue.removeJob(id);
    }
    if (answer.notRun) {
        // Nothing ran under the client key, so a new ticket may use it for another attempt.
        m_table.keys().remove(sequence);
    }
    const std::vector<job_waiter> waiters = std::move(job.waiters);
    m_table.settle(sequence, answer, m_context.now);
    for (const job_waiter &waiter : waiters) {
        if (waiter.timer) {
            m_waits.cancel(*waiter.timer);
        }
        reply(waiter.request, waiter.ticket, answer);
    }
}

void job_manager::reply(const request_id &request, const ticket_id &ticket, job_answer answer)
{
    m_context.actions->push_back(reply_job{.request = request, .ticket = ticket, .answer = std::move(answer)});
}

void job_manager::runTimers()
{
    failOverdue();
    while (const auto wait = m_waits.takeDue(m_context.now)) {
        expireWait(*wait);
    }
    m_table.expire(m_context.now);
}

// Fails the jobs whose deadline has passed. All their queued tasks leave the queue in one pass first.
void job_manager::failOverdue()
{
    if (m_deadlines.nextDue() > m_context.now) {
        return;
    }
    for (const queued_task &task : m_context.queue.takeExpired(m_context.now)) {
        if (job_record *job = findRunning(task.id.ticket); job != nullptr) {
            --job->queued;
        }
    }
    while (m_deadlines.nextDue() <= m_context.now) {
        // A start whose fate is unknown may have run, so its job cannot be told that it only was late.
        job_record &job = *m_table.findRunning(m_deadlines.nextValue());
        fail(job, job.ambiguous > 0 ? reason::outcomeUnknown : reason::deadlineExceeded);
    }
}

// Answers a query that has waited long enough that the job is still running.
void job_manager::expireWait(const query_wait &wait)
{
    job_record *job = m_table.findRunning(wait.sequence);
    const auto found = std::ranges::find(job->waiters, wait.request, &job_waiter::request);
    const ticket_id ticket = found->ticket;
    job->waiters.erase(found);
    job_answer running;
    running.state = job_state::running;
    reply(wait.request, ticket, std::move(running));
}

mono_time job_manager::nextDue() const
{
    return std::min({m_deadlines.nextDue(), m_waits.nextDue(), m_table.nextDue()});
}

std::size_t job_manager::runningCount() const
{
    return m_table.runningCount();
}

std::size_t job_manager::keptCount() const
{
    return m_table.keptCount();
}

} // namespace teaselward
