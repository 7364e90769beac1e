#include "share/task_queue_private.h"

#include "share/deadline_forecast.h"
#include "share/queue_time_limit.h"
#include "share/response_slack.h"

#include <algorithm>
#include <cmath>

namespace teaselward::detail
{

namespace
{

using std::chrono::milliseconds;

constexpr double MinShare = 1e-3; // Keeps a kind with weight and floor zero from waiting forever.
constexpr double WaitMargin = 1.8; // Less lets accepted jobs expire under overload; more refuses too many jobs in floods.
constexpr double RunMargin = 3; // The longest task of a job can run for several times the mean.
// A wait is a larger part of the response time of a job with few tasks, so each task delays the turn of its job.
constexpr milliseconds DelayPerTask(100);
constexpr std::size_t MaxDelayedTasks = 20; // Larger jobs are not delayed any further.
constexpr milliseconds MinRetryDelay(100);
constexpr milliseconds MaxRetryDelay(10000);
constexpr milliseconds QuotaRetryDelay(1000); // The shares of a quota change with the reports, once a second.

// Converts a wait to a retry time within the limits.
milliseconds retryTime(double seconds)
{
    const auto wait = milliseconds(static_cast<std::int64_t>(std::min(seconds, 1e6) * 1000));
    return std::clamp(wait, MinRetryDelay, MaxRetryDelay);
}

} // namespace

std::size_t task_queue_private::findKind(std::string_view kind) const
{
    const auto found = kindNames.find(kind);
    return found == kindNames.end() ? kinds.size() : found->second;
}

std::size_t task_queue_private::kindIndex(std::string_view kind)
{
    const std::size_t found = findKind(kind);
    if (found < kinds.size()) {
        return found;
    }
    const std::size_t index = order.add(1.0);
    kinds.emplace_back();
    kinds.back().name = std::string(kind);
    kindNames.emplace(std::string(kind), index);
    return index;
}

double task_queue_private::teamWeight(std::string_view team) const
{
    const auto found = rules->teams.find(team);
    return found == rules->teams.end() ? 1.0 : std::max(MinShare, found->second.weight);
}

// Each kind gets its floor, and the rest of the slots is divided by weight. Virtual time makes this the minimum share of a kind
// while it has work; unused slots are divided in the same ratio.
void task_queue_private::applyRules()
{
    double floors = 0;
    double weights = 0;
    for (const auto &[name, rule] : rules->kinds) {
        floors += std::max(0.0, rule.floor);
        weights += std::max(0.0, rule.weight);
    }
    const double scale = floors > 1 ? 1 / floors : 1;
    const double rest = std::max(0.0, 1 - floors * scale);
    for (const auto &[name, rule] : rules->kinds) {
        const std::size_t index = kindIndex(name);
        kind_queue &kind = kinds[index];
        kind.rule = rule;
        kind.share = std::max(0.0, rule.floor) * scale + (weights > 0 ? rest * std::max(0.0, rule.weight) / weights : 0);
        kind.share = std::max(MinShare, kind.share);
        order.setWeight(index, kind.share);
        for (std::size_t team = 0; team < kind.teams.size(); ++team) {
            kind.setTeamWeight(team, teamWeight(kind.teams[team].name));
        }
    }
    quotas.setRules(*rules);
}

admission_result task_queue_private::decide(kind_queue &kind, std::size_t team, const job_request &job, std::size_t slots, mono_time now)
{
    const auto tasks = static_cast<std::uint32_t>(job.payloads.size());
    const double mean = kind.runTime.mean();
    const double usable = usableSlots(kind, slots);
    const team_queue &queue = kind.teams[team];
    const bool fits = queue.queued + tasks <= kind.teamLimit(team) || (queue.queued == 0 && kind.queued + tasks <= kind.rule.queueLimit);
    if (!fits) {
        return {.why = reason::queueFull, .retryAfter = retryTime(tasks * mean / usable), .decision = refusal_decision::queueLimit};
    }
    const milliseconds run = expectedRun(kind, job);
    const auto slack = responseSlack(kind.rule, run);
    const auto limit = queueTimeLimit(kind.rule, run);
    if (slots > 0 && kind.queued > 0 && kind.runTime.isReliable()) {
        const double weight = kind.order.weight(team);
        const double ahead = std::min<double>(kind.queued, queue.queued * std::max(1.0, kind.activeWeight / weight));
        const double wait = (ahead + tasks) * mean / usable;
        const double excess = slack ? wait - std::chrono::duration<double>(*slack).count()
                                    : WaitMargin * wait + RunMargin * mean - std::chrono::duration<double>(job.timeLimit).count();
        // The estimate counts the slots that the kind has used; in a burst it may get many more. Only a queue that has stopped
        // moving shows that it does not. Jobs with an objective are refused soon if they do not start.
        const bool isMoving = limit && 2 * headWait(kind, now) < *limit;
        if (excess > 0 && !isMoving) {
            return {.why = reason::deadlineUnreachable, .retryAfter = retryTime(slack ? wait : excess), .decision = refusal_decision::estimatedWait};
        }
    }
    if (limit && size > 0 && kind.runTime.isReliable() && missesDeadline(std::chrono::duration<double>(mean), job.estimate, job.timeLimit)) {
        return {.why = reason::deadlineUnreachable, .decision = refusal_decision::deadlineForecast};
    }
    if (!quotas.admits(job.team, tasks, now)) {
        return {reason::quotaExceeded, QuotaRetryDelay};
    }
    if (!kind.breaker.admits(now)) {
        return {reason::kindFailing, std::max(MinRetryDelay, kind.breaker.retryAfter(now))};
    }
    return {.why = reason::none, .slack = slack, .run = run, .startTimeout = limit};
}

double task_queue_private::usableSlots(const kind_queue &kind, std::size_t slots) const
{
    return kind.service.slots(kind.started, kind.share * static_cast<double>(slots) / static_cast<double>(entries));
}

milliseconds task_queue_private::retryAfter(std::string_view kind, std::uint32_t tasks, std::size_t slots) const
{
    const std::size_t index = findKind(kind);
    if (index == kinds.size()) {
        return MinRetryDelay;
    }
    const kind_queue &one = kinds[index];
    return retryTime(std::max(one.queued, tasks) * one.runTime.mean() / usableSlots(one, slots));
}

mono_clock::duration task_queue_private::headWait(const kind_queue &kind, mono_time now)
{
    if (kind.queued == 0) {
        return {};
    }
    return now - kind.teams[kind.order.active().begin()->second].jobs.front().queuedAt;
}

// Declared run times are inaccurate, and so is the mean of a kind with different jobs; their average is more accurate than
// either.
milliseconds task_queue_private::expectedRun(const kind_queue &kind, const job_request &job)
{
    const auto mean = std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(kind.runTime.mean()));
    if (job.estimate.count() == 0 || !kind.runTime.isReliable()) {
        return std::max(mean, job.estimate);
    }
    return (mean + job.estimate) / 2;
}

// A later job overtakes only jobs that are due later, so that no job waits forever. The search from the back covers only the
// jobs of the last two seconds.
task_queue_private::job_position task_queue_private::findOrAddJob(const queued_task &task, mono_time now)
{
    const auto found = jobs.find(task.id.ticket);
    if (found != jobs.end()) {
        return found->second;
    }
    const std::size_t kindNumber = kindIndex(task.kind);
    const std::size_t teamNumber = kinds[kindNumber].teamIndex(task.team, teamWeight(task.team));
    const bool isNew = task.id.ticket == admitted;
    const std::size_t tasks = std::min(isNew ? admittedTasks : 1, MaxDelayedTasks);
    const mono_time due = now + (isNew && admittedSlack ? *admittedSlack : milliseconds(tasks * DelayPerTask));
    auto &list = kinds[kindNumber].teams[teamNumber].jobs;
    auto before = list.end();
    while (before != list.begin() && std::prev(before)->due > due) {
        --before;
    }
    const auto added = addJob(task, kindNumber, teamNumber, before, due, now);
    added->hasObjective = isNew && admittedSlack.has_value();
    added->run = isNew ? admittedRun : milliseconds::zero();
    return added;
}

task_queue_private::job_position task_queue_private::findOrAddFront(const queued_task &task)
{
    const auto found = jobs.find(task.id.ticket);
    if (found != jobs.end()) {
        return found->second;
    }
    const std::size_t kindNumber = kindIndex(task.kind);
    const std::size_t teamNumber = kinds[kindNumber].teamIndex(task.team, teamWeight(task.team));
    auto &list = kinds[kindNumber].teams[teamNumber].jobs;
    return addJob(task, kindNumber, teamNumber, list.begin(), list.empty() ? mono_time{} : list.front().due, latest);
}

task_queue_private::job_position
task_queue_private::addJob(const queued_task &task, std::size_t kindNumber, std::size_t teamNumber, job_position before, mono_time due, mono_time now)
{
    const auto added = kinds[kindNumber].teams[teamNumber].jobs.insert(before, queued_job{});
    added->ticket = task.id.ticket;
    added->kind = kindNumber;
    added->team = teamNumber;
    added->queuedAt = now;
    added->due = due;
    added->expiry = expiries.emplace(task.deadline, task.id.ticket);
    jobs.emplace(task.id.ticket, added);
    return added;
}

void task_queue_private::countQueued(const queued_job &job, std::int64_t change)
{
    kind_queue &kind = kinds[job.kind];
    team_queue &team = kind.teams[job.team];
    team.queued = static_cast<std::uint32_t>(team.queued + change);
    kind.queued = static_cast<std::uint32_t>(kind.queued + change);
    size = static_cast<std::size_t>(static_cast<std::int64_t>(size) + change);
    kind.order.setActive(job.team, team.queued > 0);
    order.setActive(job.kind, kind.queued > 0);
}

void task_queue_private::removeEmpty(job_position job)
{
    if (!job->tasks.empty()) {
        return;
    }
    expiries.erase(job->expiry);
    jobs.erase(job->ticket);
    kinds[job->kind].teams[job->team].jobs.erase(job);
}

void task_queue_private::charge(kind_queue &kind, std::size_t kindNumber, std::size_t team, double work)
{
    if (work > 0) {
        order.charge(kindNumber, work);
        kind.order.charge(team, work);
    } else {
        order.correct(kindNumber, work);
        kind.order.correct(team, work);
    }
}

} // namespace teaselward::detail
