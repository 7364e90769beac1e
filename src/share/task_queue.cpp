#include "share/task_queue.h"

#include "share/task_queue_private.h"

#include <utility>

namespace teaselward
{

task_queue::task_queue()
    : d(std::make_unique<detail::task_queue_private>())
{
}

task_queue::~task_queue() = default;

void task_queue::setRules(std::shared_ptr<const rule_set> rules)
{
    d->rules = std::move(rules);
    d->applyRules();
}

admission_result task_queue::admit(const job_request &job, std::size_t slots, mono_time now)
{
    if (!d->rules->kinds.contains(job.kind)) {
        return {reason::unknownKind, {}};
    }
    if (!d->rules->teams.empty() && !d->rules->teams.contains(job.team)) {
        return {reason::unknownTeam, {}};
    }
    kind_queue &kind = d->kinds[d->findKind(job.kind)];
    const std::size_t team = kind.teamIndex(job.team, d->teamWeight(job.team));
    const admission_result result = d->decide(kind, team, job, slots, now);
    const std::size_t tasks = job.payloads.size();
    if (result.why != reason::none) {
        kind.teams[team].refused += tasks;
        return result;
    }
    d->admitted = job.source.id;
    d->admittedTasks = tasks;
    d->admittedSlack = result.slack;
    d->admittedRun = result.run;
    kind.teams[team].admitted += tasks;
    kind.addInProgress(team, static_cast<std::int64_t>(tasks));
    d->quotas.add(job.team, static_cast<std::int64_t>(tasks));
    return result;
}

void task_queue::push(queued_task task, mono_time now)
{
    const auto job = d->findOrAddJob(task, now);
    if (job->hasObjective) {
        task.due = job->due;
        task.run = job->run;
    }
    job->tasks.push_back(std::move(task));
    d->countQueued(*job, 1);
}

// The charge is refunded because the next start charges it again.
void task_queue::pushFront(queued_task task)
{
    const auto job = d->findOrAddFront(task);
    job->tasks.push_front(std::move(task));
    d->countQueued(*job, 1);
    kind_queue &kind = d->kinds[job->kind];
    kind.started -= kind.started > 0 ? 1 : 0;
    kind.teams[job->team].started -= kind.teams[job->team].started > 0 ? 1 : 0;
    d->charge(kind, job->kind, job->team, -kind.runTime.mean());
}

std::optional<queued_task> task_queue::pop(const std::function<bool(std::string_view)> &placeable, mono_time now)
{
    d->latest = now;
    for (const auto &[tag, kindNumber] : d->order.active()) {
        kind_queue &kind = d->kinds[kindNumber];
        if (!placeable(kind.name)) {
            continue;
        }
        const std::size_t teamNumber = kind.order.active().begin()->second;
        team_queue &team = kind.teams[teamNumber];
        const auto job = team.jobs.begin();
        queued_task task = std::move(job->tasks.front());
        job->tasks.pop_front();
        kind.service.observe(kind.started, kind.queued > 1, now);
        ++kind.started;
        ++team.started;
        d->charge(kind, kindNumber, teamNumber, kind.runTime.mean());
        d->countQueued(*job, -1);
        d->removeEmpty(job);
        return task;
    }
    return std::nullopt;
}

std::size_t task_queue::removeJob(const ticket_id &ticket)
{
    const auto found = d->jobs.find(ticket);
    if (found == d->jobs.end()) {
        return 0;
    }
    const auto job = found->second;
    const auto dropped = static_cast<std::int64_t>(job->tasks.size());
    kind_queue &kind = d->kinds[job->kind];
    kind.addInProgress(job->team, -dropped);
    d->quotas.add(kind.teams[job->team].name, -dropped);
    d->countQueued(*job, -dropped);
    job->tasks.clear();
    d->removeEmpty(job);
    return static_cast<std::size_t>(dropped);
}

std::vector<queued_task> task_queue::takeExpired(mono_time now)
{
    std::vector<queued_task> taken;
    while (!d->expiries.empty() && d->expiries.begin()->first <= now) {
        const ticket_id ticket = d->expiries.begin()->second;
        auto &tasks = d->jobs.at(ticket)->tasks;
        taken.insert(taken.end(), tasks.begin(), tasks.end());
        removeJob(ticket);
    }
    return taken;
}

// Corrects the charge from the expected to the measured run time.
void task_queue::finish(const queued_task &task, const task_outcome &outcome, mono_time now)
{
    const std::size_t kindNumber = d->findKind(task.kind);
    if (kindNumber == d->kinds.size()) {
        return;
    }
    kind_queue &kind = d->kinds[kindNumber];
    const std::size_t teamNumber = kind.findTeam(task.team);
    if (teamNumber == kind.teams.size()) {
        return;
    }
    kind.service.observe(kind.started, kind.queued > 0, now);
    kind.started -= kind.started > 0 ? 1 : 0;
    kind.teams[teamNumber].started -= kind.teams[teamNumber].started > 0 ? 1 : 0;
    kind.addInProgress(teamNumber, -1);
    d->quotas.add(task.team, -1);
    const bool ran = outcome.verdict == task_verdict::succeeded || outcome.verdict == task_verdict::failed;
    const double work = ran ? std::chrono::duration<double>(outcome.runTime).count() : 0;
    const double correction = work - kind.runTime.mean();
    d->order.correct(kindNumber, correction);
    kind.order.correct(teamNumber, correction);
    if (ran) {
        kind.breaker.record(outcome.verdict == task_verdict::failed, now);
    }
    if (outcome.verdict == task_verdict::succeeded) {
        kind.runTime.add(outcome.runTime);
    }
}

std::size_t task_queue::size() const
{
    return d->size;
}

std::chrono::milliseconds task_queue::retryAfter(std::string_view kind, std::uint32_t tasks, std::size_t slots) const
{
    return d->retryAfter(kind, tasks, slots);
}

std::vector<team_usage> task_queue::takeUsage()
{
    return d->quotas.takeUsage();
}

void task_queue::setPeerUsage(const entry_id &peer, std::vector<team_usage> usage, mono_time now)
{
    d->quotas.setPeerUsage(peer, std::move(usage), now);
}

void task_queue::setEntryCount(std::size_t entries)
{
    d->entries = entries > 0 ? entries : 1;
    d->quotas.setEntryCount(entries);
}

std::vector<queue_status> task_queue::status() const
{
    std::vector<queue_status> found;
    for (const kind_queue &kind : d->kinds) {
        for (const team_queue &team : kind.teams) {
            if (team.name.empty() && team.admitted + team.refused == 0) {
                continue; // Index of a team that was dropped.
            }
            found.push_back({kind.name, team.name, team.queued, team.started, team.admitted, team.refused});
        }
    }
    return found;
}

} // namespace teaselward
