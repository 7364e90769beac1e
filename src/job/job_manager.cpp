#include "job/job_manager.h"

#include "core/concat.h"
#include "core/reason_text.h"
#include "core/task_log_fields.h"
#include "job/refusal.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace teaselward
{

job_manager::job_manager(entry_context &context, const ticket_issuer &tickets)
    : m_context(context)
    , m_tickets(tickets)
    , m_table(context.settings.ticketLifetime, context.settings.minAnswerRetention, context.settings.maxJobs, context.settings.maxJobBytes)
    , m_admission(context, m_table)
    , m_waiters(context)
    , m_closed(context.settings.ticketLifetime)
{
}

// A resubmission is answered before the checks for new jobs, so that none of them can refuse a job that was already accepted.
void job_manager::submit(const request_id &request, job_request job, mono_time callerSeenAt)
{
    const reason verdict = m_tickets.check(job.source, m_context.now);
    if (verdict == reason::badTicket) {
        m_context.reply(request, job.source.id, refusal(verdict));
        return;
    }
    if (answerResubmission(request, job, callerSeenAt)) {
        return;
    }
    if (verdict != reason::none || m_table.wasEvicted(job.source.id.sequence)) {
        m_context.reply(request, job.source.id, refusal(reason::ticketExpired));
        return;
    }
    if (m_closed.isClosed(job.source.id.sequence)) {
        m_context.reply(request, job.source.id, refusal(reason::ticketClosed));
        return;
    }
    const request_digest digest = digestOf(job);
    if (joinByKey(request, job, digest, callerSeenAt)) {
        return;
    }
    admission_decision decision = m_admission.decide(job);
    if (std::optional<job_answer> &refused = decision.refused; refused) {
        if (m_context.log.isEnabled()) {
            m_context.log.write(
                log_part::admit,
                concat("Refused a job. ", ticketLogField(job.source.id), " kind=", job.kind, " team=", job.team, " reason=", reasonText(refused->why)));
        }
        if (refused->notRun) {
            m_closed.close(job.source.id.sequence, m_context.now);
        }
        m_context.reply(request, job.source.id, *std::move(refused));
        return;
    }
    const ticket_id id = job.source.id;
    job_record &record = create(std::move(job), digest, decision.startTimeout);
    record.needsCaller = caller_presence::isRequired(request);
    m_waiters.add(record, request, id, std::nullopt, callerSeenAt);
}

// Answers a resubmission or lets it wait for its job. Returns false if the ticket has no job yet.
bool job_manager::answerResubmission(const request_id &request, const job_request &job, mono_time callerSeenAt)
{
    const std::uint64_t sequence = job.source.id.sequence;
    const answered_job *kept = m_table.findAnswered(sequence);
    const joined_ticket *joined = m_table.findJoined(sequence);
    job_record *running = findRunningOrJoined(sequence);
    if (kept == nullptr && running == nullptr) {
        return false;
    }
    const request_digest &digest = kept != nullptr ? kept->digest : joined != nullptr ? joined->digest : running->digest;
    if (digest != digestOf(job)) {
        m_context.reply(request, job.source.id, refusal(reason::ticketReused));
    } else if (kept != nullptr) {
        m_context.reply(request, job.source.id, kept->answer->unpack());
    } else {
        m_waiters.add(*running, request, job.source.id, std::nullopt, callerSeenAt);
    }
    return true;
}

// Attaches a ticket with an already used client key to the job of that key, running or answered. Returns false if there is none.
bool job_manager::joinByKey(const request_id &request, const job_request &job, const request_digest &digest, mono_time callerSeenAt)
{
    const auto first = m_table.keys().find(job.team, job.kind, job.key);
    if (!first) {
        return false;
    }
    m_table.join(job.source.id.sequence, digest, *first, m_context.now);
    if (m_context.log.isEnabled()) {
        m_context.log.write(log_part::job, concat("Joined a ticket by its client key. ", ticketLogField(job.source.id), " first=", *first));
    }
    return answerResubmission(request, job, callerSeenAt);
}

// Creates the record of an admitted job and queues its tasks.
job_record &job_manager::create(job_request job, const request_digest &digest, std::optional<std::chrono::milliseconds> startTimeout)
{
    const kind_rule &rule = m_context.rules->kinds.find(job.kind)->second;
    const std::uint64_t sequence = job.source.id.sequence;
    auto created = std::make_unique<job_record>();
    created->sequence = sequence;
    created->kind = job.kind;
    created->digest = digest;
    created->deadline = m_context.now + (job.timeLimit.count() > 0 ? job.timeLimit : rule.timeLimit);
    created->deadlineTimer = m_deadlines.schedule(created->deadline, sequence);
    if (startTimeout) {
        created->startTimeout = *startTimeout;
        created->startTimer = m_startTimers.schedule(m_context.now + *startTimeout, sequence);
    }
    created->unfinished = job.payloads.size();
    created->queued = job.payloads.size();
    created->bytes = sizeof(job_record);
    created->key = job.key;
    created->needs = job.needs;
    created->estimate = job.estimate;
    created->restartable = rule.restartable;
    created->attempts = rule.attempts;
    created->tasks.reserve(job.payloads.size());
    for (std::string &payload : job.payloads) {
        created->bytes += sizeof(task_record) + payload.size();
        created->tasks.push_back(
            {.state = task_state::queued, .placements = 0, .evacuatedRefusals = 0, .failures = 0, .crashes = {}, .payload = std::move(payload), .result = {}});
    }
    m_table.keys().add(job.team, job.kind, job.key, sequence);
    job_record &record = m_table.add(std::move(created));
    for (std::uint32_t index = 0; index < record.tasks.size(); ++index) {
        m_context.queue.push({.id = {.ticket = job.source.id, .index = index}, .kind = job.kind, .team = job.team, .deadline = record.deadline}, m_context.now);
    }
    return record;
}

void job_manager::query(const request_id &request, const ticket &source, std::chrono::milliseconds wait)
{
    reason verdict = m_tickets.check(source, m_context.now);
    if (verdict == reason::none) {
        verdict = m_table.wasEvicted(source.id.sequence) ? reason::ticketExpired : reason::unknownJob;
    }
    if (const answered_job *kept = m_table.findAnswered(source.id.sequence); kept != nullptr) {
        m_context.reply(request, source.id, kept->answer->unpack());
    } else if (job_record *job = findRunningOrJoined(source.id.sequence); job != nullptr) {
        m_waiters.add(*job, request, source.id, wait);
    } else {
        m_context.reply(request, source.id, refusal(verdict));
    }
}

// Cancels a running job. All waiting requests, including the cancellation itself, get the final answer.
void job_manager::cancel(const request_id &request, const ticket &source)
{
    job_record *job = findRunningOrJoined(source.id.sequence);
    if (job == nullptr) {
        query(request, source, {});
        return;
    }
    job->waiters.push_back({.request = request, .ticket = source.id, .timer = std::nullopt, .seenAt = {}});
    fail(*job, reason::cancelled);
}

// A job that is not restartable continues, since its caller may query the answer later.
void job_manager::abandon(const request_id &request)
{
    job_record *job = m_table.findWaitedBy(request);
    if (job == nullptr || !job->restartable) {
        return;
    }
    if (job->waiters.size() == 1) {
        fail(*job, reason::cancelled);
        return;
    }
    const auto left = std::ranges::find(job->waiters, request, &job_waiter::request);
    m_context.reply(request, left->ticket, refusal(reason::cancelled));
    job->waiters.erase(left);
}

job_record *job_manager::findRunning(const ticket_id &id)
{
    return id.incarnation == m_context.settings.self.id.value ? m_table.findRunning(id.sequence) : nullptr;
}

// Finds the running job of a ticket: its own job, or the one that a client key joined it to.
job_record *job_manager::findRunningOrJoined(std::uint64_t sequence)
{
    const joined_ticket *joined = m_table.findJoined(sequence);
    return m_table.findRunning(joined != nullptr ? joined->target : sequence);
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
    settle(job, answer);
}

void job_manager::fail(job_record &job, reason why)
{
    job_answer answer;
    answer.state = job_state::failed;
    answer.why = why;
    answer.notRun = job.started == 0 && !job.hasRun;
    const bool isUsedUp = why == reason::noEndpoint && answer.notRun;
    if (isUsedUp) {
        answer.retryAfter = job_admission::CapacityRetryDelay;
    }
    settle(job, answer, isUsedUp ? refusal_decision::placementsUsedUp : refusal_decision::none);
}

// Records the placed tasks of an answered job, whose runs are to be stopped.
void job_manager::collectObsolete(const job_record &job, const ticket_id &id)
{
    for (std::uint32_t index = 0; index < job.tasks.size(); ++index) {
        const task_record &task = job.tasks[index];
        if (task.state == task_state::placed) {
            m_context.obsolete.push_back({.ticket = id, .index = index, .attempt = task.placements});
        }
    }
}

// Sends the final answer to all waiting requests and keeps it for resubmissions. The job record is destroyed.
void job_manager::settle(job_record &job, const job_answer &answer, refusal_decision decision)
{
    m_context.refusals.add(decision);
    const std::uint64_t sequence = job.sequence;
    const ticket_id id{.incarnation = m_context.settings.self.id.value, .sequence = sequence};
    if (m_context.log.isEnabled()) {
        m_context.log.write(log_part::job,
                            concat(answer.state == job_state::complete ? "Completed a job. " : "Failed a job. ",
                                   ticketLogField(id),
                                   " reason=",
                                   reasonText(answer.why),
                                   " not_run=",
                                   answer.notRun,
                                   decision == refusal_decision::none ? "" : " decision=",
                                   decision == refusal_decision::none ? "" : refusalDecisionName(decision)));
    }
    m_deadlines.cancel(job.deadlineTimer);
    if (job.startTimer) {
        m_startTimers.cancel(*job.startTimer);
    }
    if (job.queued > 0) {
        m_context.queue.removeJob(id);
    }
    if (job.restartable) {
        collectObsolete(job, id);
    }
    if (answer.notRun) {
        // Nothing ran under the client key, so another ticket may use it to submit the job again.
        m_table.keys().remove(sequence);
    }
    m_waiters.answer(job, answer);
    m_table.settle(sequence, answer, m_context.now);
}

void job_manager::runTimers()
{
    failOverdue();
    refuseUnstarted();
    m_waiters.runTimers(m_table);
    m_table.expire(m_context.now);
}

// Fails the jobs whose deadline has passed. Their queued tasks are first removed in a single pass over the queue.
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
        // A start with an unknown outcome may have run, so reporting only an exceeded deadline would be wrong.
        job_record &job = *m_table.findRunning(m_deadlines.nextValue());
        fail(job, job.ambiguous > 0 ? reason::outcomeUnknown : reason::deadlineExceeded);
    }
}

// Refuses the jobs that have not started within their start timeout.
void job_manager::refuseUnstarted()
{
    while (const auto sequence = m_startTimers.takeDue(m_context.now)) {
        job_record &job = *m_table.findRunning(*sequence);
        job.startTimer.reset();
        refuseIfOverdue(job);
    }
}

bool job_manager::refuseIfOverdue(job_record &job, std::optional<mono_time> latestStart)
{
    const bool isOverdue = job.startTimeout.count() > 0 && !job.startTimer;
    if (!isOverdue || job.started > 0 || job.hasRun) {
        return false;
    }
    if (latestStart) {
        job.startTimer = m_startTimers.schedule(*latestStart, job.sequence);
        return false;
    }
    const auto tasks = static_cast<std::uint32_t>(job.tasks.size());
    job_answer answer;
    answer.state = job_state::failed;
    answer.why = reason::overloaded;
    answer.notRun = true;
    answer.retryAfter = m_context.queue.retryAfter(job.kind, tasks, m_context.slots.slots(m_context.offeredName(job.kind)));
    settle(job, answer, refusal_decision::waitingTime);
    return true;
}

mono_time job_manager::nextDue() const
{
    return std::min({m_startTimers.nextDue(), m_deadlines.nextDue(), m_waiters.nextDue(), m_table.nextDue()});
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
