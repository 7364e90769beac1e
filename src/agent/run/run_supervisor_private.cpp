#include "agent/run/run_supervisor_private.h"

#include "core/concat.h"
#include "core/reason_text.h"
#include "core/task_log_fields.h"

#include <algorithm>
#include <array>
#include <utility>

namespace teaselward::detail
{

namespace
{

// The clock of an endpoint loses at most one part in this many.
constexpr int SlowClockDivisor = 50;

// The step by which a refused fencing token is raised grows by this factor; a token one day ahead is passed in 14 steps.
constexpr std::uint64_t TokenGrowth = 4;

/** Outcome of a task for the result of its run. */
struct result_rule {
    run_result result;
    task_verdict verdict;
    reason why;
};

// Indexed by the value of run_result.
constexpr std::array Results = {
    result_rule{run_result::done, task_verdict::succeeded, reason::none},
    result_rule{run_result::failed, task_verdict::failed, reason::taskFailed},
    result_rule{run_result::stopped, task_verdict::interrupted, reason::cancelled},
    result_rule{run_result::lapsed, task_verdict::interrupted, reason::outcomeUnknown},
    result_rule{run_result::gangBroken, task_verdict::interrupted, reason::outcomeUnknown},
    result_rule{run_result::gangIncomplete, task_verdict::interrupted, reason::outcomeUnknown},
};

} // namespace

run_supervisor_private::run_supervisor_private(const supervisor_settings &given, logger &lines)
    : settings(given)
    , log(lines)
    , token(given.fencingToken)
{
}

// The clock offset is taken when an answer of the endpoint arrives, and the clock of the endpoint may have been slow since then, so the
// estimated time is never ahead of it.
std::chrono::milliseconds run_supervisor_private::leaseEnd(mono_time now) const
{
    const auto own = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
    const auto drift = std::chrono::ceil<std::chrono::milliseconds>((now - clockOffsetAt) / SlowClockDivisor);
    return clockOffset.value_or(-own) + own - (clockOffset ? drift : std::chrono::milliseconds::zero()) + settings.lease;
}

// A run whose end is not certain in time must end with its lease, so nothing may extend the lease until then: a caller may already have
// submitted the job again. That includes a run whose stop was accepted, because it ends only some time later. The same holds for an
// orphaned run, whose home was lost before.
bool run_supervisor_private::isLeaseHeldBack(mono_time now) const
{
    const auto isOverdue = [this, now](const auto &item) {
        return now - endRequested(item.second) >= settings.stopBound;
    };
    return !orphans.empty() || std::ranges::any_of(runs, isOverdue);
}

// Returns the time at which the confirmation of a run's home ends. The confirmation is dated before the home's answer, so neither an
// answer that waited nor a thread that was paused moves this time.
mono_time run_supervisor_private::homeEnd(const call_endpoint &order) const
{
    if (order.homeSession == 0) {
        return mono_time::max();
    }
    const auto found = homes.find(order.homeSession);
    return (found != homes.end() ? found->second : order.homeConfirmedAt) + settings.homeLease;
}

// Keeps the latest confirmation of the home of a new order, and drops those of homes that have no run.
void run_supervisor_private::addHome(const call_endpoint &order)
{
    if (order.homeSession == 0) {
        return;
    }
    std::erase_if(homes, [this](const auto &home) {
        return std::ranges::none_of(runs, [&home](const auto &item) {
            return item.second.order.homeSession == home.first;
        });
    });
    mono_time &confirmedAt = homes[order.homeSession];
    confirmedAt = std::max(confirmedAt, order.homeConfirmedAt);
}

// Stops the runs whose home has not confirmed its session for too long.
void run_supervisor_private::stopRunsOfLostHomes(mono_time now)
{
    for (auto &[id, run] : runs) {
        const mono_time end = homeEnd(run.order);
        if (!run.stopRequested && end <= now) {
            if (log.isEnabled()) {
                const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - end + settings.homeLease);
                log.write(log_part::agent,
                          concat("The home entry has not confirmed its session. ",
                                 taskLogFields(run.order.id),
                                 " session=",
                                 run.order.homeSession,
                                 " evidence_age_ms=",
                                 age.count()));
            }
            requestStop(run, reason::cancelled, now);
        }
    }
}

// Returns the time from which on a run must end: the request for its end, or the end of its home's confirmation if that comes first, even
// if this thread has not acted on it yet.
mono_time run_supervisor_private::endRequested(const supervised_run &run) const
{
    const mono_time end = homeEnd(run.order);
    return run.endRequestedAt ? std::min(*run.endRequestedAt, end) : end;
}

// The first call, calls without recent contact and calls while the lease is held back renew no lease.
void run_supervisor_private::sendList(std::chrono::milliseconds wait, mono_time now)
{
    list_runs call;
    call.number = ++lastList;
    call.fencingToken = token;
    call.acknowledged = acknowledged;
    call.wait = wait;
    if (clockOffset && now - lastContact <= settings.contactTimeout && !isLeaseHeldBack(now)) {
        call.leaseEnd = leaseEnd(now);
        latestLeaseSent = std::max(latestLeaseSent, *call.leaseEnd);
        latestLeaseEnd = now + settings.lease;
    }
    calls.emplace_back(call);
}

// If the answer to a list call is lost, the end of a run goes unnoticed until the call times out, so waits are short while there
// are runs.
std::chrono::milliseconds run_supervisor_private::listWait() const
{
    return runs.empty() ? settings.renewal : settings.busyListWait;
}

// Older calls may still be open; only the newest one blocks the next.
bool run_supervisor_private::isListPending() const
{
    return newestEnded < lastList;
}

void run_supervisor_private::sendStart(supervised_run &run, mono_time now)
{
    run.state = run_state::starting;
    start_run call{.id = run.id, .spec = run.order.payload, .leaseEnd = latestLeaseSent, .fencingToken = token};
    if (!isLeaseHeldBack(now)) {
        call.leaseEnd = leaseEnd(now);
        latestLeaseSent = std::max(latestLeaseSent, call.leaseEnd);
        latestLeaseEnd = std::max(latestLeaseEnd, now + settings.lease);
    }
    calls.emplace_back(std::move(call));
}

void run_supervisor_private::sendStop(supervised_run &run, mono_time now)
{
    run.state = run_state::stopping;
    run.retryAt = now + settings.stopRepeat;
    calls.emplace_back(stop_run{.id = run.id, .fencingToken = token});
}

// Does not wait for the answer to a start: a stop that overtakes it makes the endpoint refuse the start.
void run_supervisor_private::requestStop(supervised_run &run, reason why, mono_time now)
{
    if (!run.endRequestedAt) {
        run.endRequestedAt = std::min(now, homeEnd(run.order));
    }
    if (run.stopRequested) {
        return;
    }
    run.stopRequested = true;
    run.stopReason = why;
    logRun("Stopping a run.", run, reasonText(why));
    sendStop(run, now);
}

void run_supervisor_private::applyEnds(const list_runs_result &lists, mono_time now)
{
    for (const run_end &end : lists.ended) {
        if (end.number <= acknowledged) {
            continue;
        }
        acknowledged = end.number;
        orphans.erase(end.id);
        const auto found = runs.find(end.id);
        if (found == runs.end()) {
            continue;
        }
        const result_rule &rule = Results.at(static_cast<std::size_t>(end.result));
        const bool wasRequested = rule.verdict == task_verdict::interrupted && found->second.stopRequested;
        finish(end.id, rule.verdict, wasRequested ? found->second.stopReason : rule.why, now);
    }
}

void run_supervisor_private::applyRunning(const list_runs_result &lists, mono_time now)
{
    absl::flat_hash_set<run_id> listedOrphans;
    for (const run_progress &progress : lists.running) {
        const auto found = runs.find(progress.id);
        if (found == runs.end()) {
            listedOrphans.insert(progress.id);
            if (orphans.insert(progress.id).second && log.isEnabled()) {
                log.write(log_part::agent, concat("Stopping an orphaned run. job=", progress.id.job, " task=", progress.id.index));
            }
            calls.emplace_back(stop_run{.id = progress.id, .fencingToken = token});
            continue;
        }
        supervised_run &run = found->second;
        if (!run.hasStarted) {
            // Lists that are already in transit may have been created before the run started, whatever their numbers.
            run.hasStarted = true;
            run.decidingList = lastList;
            run.progressedAt = now;
        }
        if (run.state == run_state::starting || run.state == run_state::unconfirmed) {
            run.state = run_state::running;
        }
        checkProgress(run, progress, now);
    }
    orphans = std::move(listedOrphans);
}

// An endpoint whose tasks stall still answers all calls, so only the percentage shows it.
void run_supervisor_private::checkProgress(supervised_run &run, const run_progress &progress, mono_time now)
{
    if (progress.percent != run.percent || run.state != run_state::running) {
        run.percent = progress.percent;
        run.progressedAt = now;
    } else if (now - run.progressedAt > stallLimit(run)) {
        requestStop(run, reason::runStalled, now);
    }
}

std::chrono::milliseconds run_supervisor_private::stallLimit(const supervised_run &run) const
{
    if (run.order.estimate.count() == 0) {
        return settings.stallLimit;
    }
    return std::max(settings.minStallLimit, std::chrono::duration_cast<std::chrono::milliseconds>(settings.stallFraction * run.order.estimate));
}

// Resolves the runs that are missing from a list that would contain them.
void run_supervisor_private::applyAbsent(const list_runs_result &lists, mono_time now)
{
    absl::flat_hash_set<run_id> listed;
    for (const run_progress &progress : lists.running) {
        listed.insert(progress.id);
    }
    std::vector<run_id> ended;
    for (auto &[id, run] : runs) {
        if (listed.contains(id) || lists.number <= run.decidingList) {
            continue;
        }
        if (run.state == run_state::unconfirmed) {
            // The start may still arrive later. Once a stop is accepted, it is refused and the task can start elsewhere.
            run.stopRequested = true;
            run.stopReason = reason::none;
            sendStop(run, now);
            logRun("The run does not exist; sending a stop so that a late start is refused.", run);
        } else if (run.state == run_state::running || run.state == run_state::stopped || (run.state == run_state::stopping && run.hasStarted)) {
            // A run that existed is over even if its stop was not answered; the endpoint refuses its attempt from then on.
            ended.push_back(id);
        }
    }
    for (const run_id &id : ended) {
        const supervised_run &run = runs.at(id);
        finish(id, run.hasStarted ? task_verdict::interrupted : run.verdictIfAbsent, run.stopRequested ? run.stopReason : reason::outcomeUnknown, now);
    }
}

// Logs a run with its task and the identifiers that the caller and the endpoint use.
void run_supervisor_private::logRun(std::string_view sentence, const supervised_run &run, std::string_view why)
{
    if (log.isEnabled()) {
        log.write(log_part::agent,
                  concat(sentence, " ", taskLogFields(run.order.id), " job=", run.id.job, " run=", run.id.attempt, why.empty() ? "" : " reason=", why));
    }
}

void run_supervisor_private::finish(const run_id &id, task_verdict verdict, reason why, mono_time now)
{
    const auto found = runs.find(id);
    task_outcome outcome;
    outcome.verdict = verdict;
    outcome.why = why;
    outcome.runTime = std::chrono::duration_cast<std::chrono::microseconds>(now - found->second.startedAt);
    outcome.endpointCrashed = hasCrashed && found->second.hasStarted;
    if (verdict != task_verdict::succeeded) {
        logRun("A run ended without a result.", found->second, reasonText(why));
    }
    ends.push_back({.id = found->second.order.id, .outcome = std::move(outcome)});
    runs.erase(found);
}

// Without contact the lease is not renewed, so all runs have ended once the last lease sent has expired. The margin of a twentieth
// allows for a slow endpoint clock. Every input checks this first: after a pause of this thread, an answer or an order that waited must
// not renew the lease of runs that have been started elsewhere meanwhile. Returns whether the endpoint is lost.
bool run_supervisor_private::detectSilence(mono_time now)
{
    if (now - lastContact > settings.contactTimeout && now > latestLeaseEnd + settings.lease / 20) {
        markLost("no answer", now);
    }
    return lost;
}

// The instance has ended. A silent endpoint is not treated as crashed, because it may only be slow.
void run_supervisor_private::markCrashed(call_result result, mono_time now)
{
    hasCrashed = true;
    markLost(result == call_result::unreachable ? "the connection was refused" : "another instance answered", now);
}

// All runs of an instance end with it, the started ones first. Calls that are not sent yet could start a run in the next instance. A run whose start was
// refused with the connection is not reported as not started, because the HTTP client repeats a request whose connection was closed.
void run_supervisor_private::markLost(std::string_view why, mono_time now)
{
    if (lost) {
        return;
    }
    lost = true;
    calls.clear();
    if (log.isEnabled()) {
        const auto silence = std::chrono::duration_cast<std::chrono::milliseconds>(now - lastContact);
        log.write(log_part::agent, concat("Lost the endpoint. why=", why, " runs=", runs.size(), " silence_ms=", silence.count()));
    }
    std::vector<run_id> all;
    for (const auto &[id, run] : runs) {
        all.push_back(id);
    }
    const auto firstUnstarted = std::partition(all.begin(), all.end(), [this](const run_id &id) {
        return runs.at(id).hasStarted;
    });
    std::vector<task_id> unstarted;
    for (auto id = firstUnstarted; id != all.end(); ++id) {
        unstarted.push_back(runs.at(*id).order.id);
    }
    const std::size_t first = ends.size();
    for (const run_id &id : all) {
        finish(id, task_verdict::interrupted, reason::outcomeUnknown, now);
    }
    if (hasCrashed && first < ends.size()) {
        ends[first].unstarted = std::move(unstarted);
    }
}

// An earlier incarnation of the agent has used a higher token, for example because the wall clock was set back.
void run_supervisor_private::raiseToken(mono_time now)
{
    token += tokenStep;
    tokenStep *= TokenGrowth;
    lastContact = now;
    sendList(std::chrono::milliseconds::zero(), now);
}

supervised_run *run_supervisor_private::find(const task_id &task)
{
    for (auto &[id, run] : runs) {
        if (run.order.id == task) {
            return &run;
        }
    }
    return nullptr;
}

// A job that was submitted to two entries has the same identifiers; a second run must wait for the end of the first.
bool run_supervisor_private::hasRunOfTask(const call_endpoint &order) const
{
    return std::ranges::any_of(runs, [&order](const auto &item) {
        return item.first.job == order.key && item.first.index == order.id.index;
    });
}

} // namespace teaselward::detail
