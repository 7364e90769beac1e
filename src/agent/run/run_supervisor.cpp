#include "agent/run/run_supervisor.h"

#include "agent/run/run_supervisor_private.h"
#include "core/reason_text.h"

#include <algorithm>
#include <array>
#include <utility>

namespace teaselward
{

namespace
{

// A start that is refused as outdated is repeated with a higher attempt. The step doubles, at most this many times.
constexpr std::uint32_t MaxAttemptRaises = 6;

/** Outcome of a task whose start the endpoint refused. */
struct refusal_rule {
    call_result result;
    task_verdict verdict;
    reason why;
};

constexpr std::array Refusals = {
    refusal_rule{call_result::expired, task_verdict::notStarted, reason::overloaded},
    refusal_rule{call_result::full, task_verdict::notStarted, reason::overloaded},
    refusal_rule{call_result::unhealthy, task_verdict::notStarted, reason::noEndpoint},
    refusal_rule{call_result::invalid, task_verdict::failed, reason::taskFailed},
};

// Returns whether the endpoint has answered, and so was alive a moment ago.
bool isAnswer(call_result result)
{
    return result != call_result::unanswered && result != call_result::unsent;
}

} // namespace

run_supervisor::run_supervisor(const supervisor_settings &settings, mono_time now, logger &log)
    : d(std::make_unique<detail::run_supervisor_private>(settings, log))
{
    d->lastContact = now;
    d->latestLeaseEnd = now;
    d->sendList(std::chrono::milliseconds::zero(), now);
}

run_supervisor::~run_supervisor() = default;

void run_supervisor::start(const call_endpoint &order, mono_time now)
{
    d->addHome(order);
    // While the lease is held back, a run could be lost with it at any moment, or the endpoint would refuse its expired lease. The home of a
    // start that has waited too long may have started the task elsewhere.
    if (d->detectSilence(now) || !d->ready || d->isLeaseHeldBack(now) || d->hasRunOfTask(order) || d->homeEnd(order) <= now) {
        d->ends.push_back({.id = order.id, .outcome = {.verdict = task_verdict::notStarted, .why = reason::overloaded, .body = {}, .runTime = {}}});
        return;
    }
    supervised_run run;
    run.id = {.job = order.key, .index = order.id.index, .attempt = std::max(1U, order.id.attempt)};
    run.order = order;
    run.startedAt = now;
    run.stopAt = now + order.timeLimit;
    const run_id id = run.id;
    d->sendStart(d->runs.emplace(id, std::move(run)).first->second, now);
    if (d->runs.size() == 1) {
        d->sendList(d->listWait(), now); // The pending list call of an idle endpoint waits too long.
    }
}

void run_supervisor::stop(const task_id &task, mono_time now, reason why)
{
    if (supervised_run *run = d->find(task); run != nullptr) {
        d->requestStop(*run, why, now);
    }
}

void run_supervisor::confirmHome(const confirm_home &home)
{
    if (const auto found = d->homes.find(home.session); found != d->homes.end()) {
        found->second = std::max(found->second, home.at);
    }
}

// A run whose start was not answered may have started, may have ended, or may start seconds later; only a list requested from
// now on decides.
void run_supervisor::startAnswered(const run_id &id, call_result result, mono_time now)
{
    if (d->detectSilence(now)) {
        return;
    }
    const auto found = d->runs.find(id);
    if (result == call_result::endpointRestarted || result == call_result::unreachable) {
        d->markCrashed(result, now);
        return;
    }
    if (isAnswer(result)) {
        d->lastContact = now;
    }
    if (found == d->runs.end()) {
        return;
    }
    if (result == call_result::unsent) {
        d->logRun("A start was not sent, since the endpoint has confirmed no connection for it.", found->second);
        d->finish(id, task_verdict::notStarted, found->second.stopRequested ? found->second.stopReason : reason::overloaded, now);
        return;
    }
    supervised_run &run = found->second;
    if (result == call_result::accepted && !run.hasStarted) {
        run.hasStarted = true;
        run.decidingList = d->lastList;
        run.progressedAt = now;
    }
    if (run.state != run_state::starting) {
        return;
    }
    if (result == call_result::accepted) {
        run.state = run_state::running;
    } else if (result == call_result::outdated && run.id.attempt < run.order.id.attempt + (1U << MaxAttemptRaises)) {
        supervised_run raised = std::move(run);
        d->runs.erase(found);
        raised.id.attempt += std::max(1U, raised.id.attempt - std::min(raised.id.attempt, raised.order.id.attempt));
        const run_id next = raised.id;
        d->sendStart(d->runs.emplace(next, std::move(raised)).first->second, now);
        return;
    } else if (result == call_result::unanswered) {
        run.state = run_state::unconfirmed;
        run.decidingList = d->lastList;
        d->logRun("A start was not answered.", run);
        d->sendList(std::chrono::milliseconds::zero(), now);
    } else {
        // The HTTP client repeats a request whose connection was closed, so an earlier copy of a refused start may still
        // arrive. A stop prevents it, as after a start without an answer.
        const auto rule = std::ranges::find(Refusals, result, &refusal_rule::result);
        run.verdictIfAbsent = rule != Refusals.end() ? rule->verdict : task_verdict::notStarted;
        run.stopReason = rule != Refusals.end() ? rule->why : reason::overloaded;
        run.stopRequested = true;
        d->logRun("The endpoint refused a start.", run, reasonText(run.stopReason));
        d->sendStop(run, now);
    }
}

void run_supervisor::stopAnswered(const run_id &id, call_result result, mono_time now)
{
    if (d->detectSilence(now)) {
        return;
    }
    if (result == call_result::endpointRestarted || result == call_result::unreachable) {
        d->markCrashed(result, now);
        return;
    }
    if (isAnswer(result)) {
        d->lastContact = now;
    }
    const auto found = d->runs.find(id);
    if (found == d->runs.end() || found->second.state != run_state::stopping) {
        return;
    }
    supervised_run &run = found->second;
    if (result != call_result::accepted && result != call_result::outdated) {
        return;
    }
    run.state = run_state::stopped;
    run.retryAt = mono_time::max();
    run.decidingList = d->lastList;
    d->sendList(std::chrono::milliseconds::zero(), now);
}

void run_supervisor::listed(const list_runs_result &lists, mono_time now)
{
    if (d->detectSilence(now)) {
        return;
    }
    d->newestEnded = std::max(d->newestEnded, lists.number);
    if (lists.result == call_result::fenced) {
        d->raiseToken(now);
        return;
    }
    const bool isOtherInstance = lists.endpointStart && d->settings.endpointStart.count() > 0 && *lists.endpointStart != d->settings.endpointStart;
    if (isOtherInstance || lists.result == call_result::endpointRestarted || lists.result == call_result::unreachable) {
        d->markCrashed(lists.result, now);
        return;
    }
    if (lists.result != call_result::accepted) {
        d->nextList = now + d->settings.listRetry;
        return;
    }
    d->lastContact = now;
    if (lists.endpointTime) {
        d->clockOffsetAt = now;
        d->clockOffset = *lists.endpointTime - std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch());
    }
    if (lists.number > d->newestAnswer) {
        d->newestAnswer = lists.number;
        d->applyEnds(lists, now);
        d->applyRunning(lists, now);
        d->applyAbsent(lists, now);
        if (!d->ready && d->orphans.empty() && d->token > 0) {
            d->ready = true;
        }
    }
    if (!d->isListPending()) {
        d->nextList = now;
        runTimers(now);
    }
}

void run_supervisor::requestLists(mono_time now)
{
    if (!d->lost) {
        d->sendList(std::chrono::milliseconds::zero(), now);
    }
}

void run_supervisor::runTimers(mono_time now)
{
    if (d->lost) {
        return;
    }
    if (d->detectSilence(now)) {
        return;
    }
    d->stopRunsOfLostHomes(now);
    bool repeatsStops = false;
    for (auto &[id, run] : d->runs) {
        if (run.retryAt <= now) {
            d->sendStop(run, now);
            repeatsStops = true;
        } else if (run.stopAt <= now && !run.stopRequested) {
            d->requestStop(run, reason::deadlineExceeded, now);
        }
    }
    if (repeatsStops) {
        d->sendList(std::chrono::milliseconds::zero(), now); // Shows the end of a run whose stop was carried out without an answer.
    } else if (!d->isListPending() && d->nextList <= now) {
        d->sendList(d->listWait(), now);
    }
}

mono_time run_supervisor::nextDue() const
{
    if (d->lost) {
        return mono_time::max();
    }
    mono_time due = d->isListPending() ? mono_time::max() : d->nextList;
    due = std::min(due, std::max(d->lastContact + d->settings.contactTimeout, d->latestLeaseEnd + d->settings.lease / 20) + std::chrono::milliseconds(1));
    for (const auto &[id, run] : d->runs) {
        due = std::min({due, run.retryAt, run.stopRequested ? mono_time::max() : std::min(run.stopAt, d->homeEnd(run.order))});
    }
    return due;
}

std::vector<run_call> run_supervisor::takeCalls()
{
    return std::exchange(d->calls, {});
}

std::vector<call_finished> run_supervisor::takeEnds()
{
    return std::exchange(d->ends, {});
}

bool run_supervisor::isReady() const
{
    return d->ready && !d->lost;
}

std::uint64_t run_supervisor::fencingToken() const
{
    return d->token;
}

bool run_supervisor::isLost() const
{
    return d->lost;
}

} // namespace teaselward
