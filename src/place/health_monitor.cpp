#include "place/health_monitor.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace teaselward
{

namespace
{

using std::chrono::milliseconds;

constexpr double FailureStep = 1.0 / 8; // Part of the newest outcome in a failure ratio.
constexpr double FailingRatio = 0.5; // Failure ratio at which an endpoint is to be detected.
constexpr double LeastUsualRatio = 0.05; // Usual failure ratio that is assumed at least, so that one failure proves nothing.
constexpr double SuspicionLimit = 9; // Four failures in a row where others have none; a false alarm once in e^9 outcomes.
constexpr milliseconds FirstProbe(500);
constexpr milliseconds LongestProbe(30000);
constexpr milliseconds FirstHold(20);
constexpr milliseconds LongestHold(500);
constexpr double SlownessStep = 1.0 / 16; // Part of the newest outcome in an endpoint's slowness.
constexpr double RunTimeStep = 1.0 / 512; // Part of the newest outcome in the usual run time of a kind.
constexpr double SlownessLimit = 0.9; // Run times 2.5 times the usual ones, five standard deviations of the average.
constexpr std::uint32_t LeastRuns = 16; // Outcomes before an endpoint is judged by its run times.

} // namespace

// Only a task that ran says something about failures; a refused start is saturation and an unknown outcome is neither.
void health_monitor::record(endpoint_record &endpoint, std::size_t kindIndex, kind_record &kind, const task_outcome &outcome, mono_time now) const
{
    switch (outcome.verdict) {
    case task_verdict::succeeded:
        recordRunTime(endpoint, kind, outcome);
        recordRun(endpoint, kindIndex, kind, false, now);
        break;
    case task_verdict::failed:
        recordRun(endpoint, kindIndex, kind, true, now);
        break;
    case task_verdict::notStarted:
        // A revoked start says nothing about the endpoint; only a refusal that names a reason of the endpoint does.
        if (outcome.why == reason::overloaded || outcome.why == reason::noEndpoint) {
            recordSaturation(endpoint, now);
        }
        break;
    case task_verdict::interrupted:
        // A stopped run says nothing, unless the endpoint itself stood still.
        if (outcome.why == reason::runStalled) {
            recordRun(endpoint, kindIndex, kind, true, now);
            break;
        }
        [[fallthrough]];
    case task_verdict::unknown:
        if (endpoint.probing) {
            endpoint.probing = false;
            endpoint.nextProbe = now + endpoint.probeInterval;
        }
        break;
    }
}

// Sequential test (CUSUM) of "fails half of its tasks" against the ratio of the other endpoints for the same kind. A kind
// that fails everywhere has a high ratio at the others and so adds nothing. Ratios are averaged over endpoints and not over
// outcomes, since an endpoint that fails fast would dominate the outcomes.
void health_monitor::recordRun(endpoint_record &endpoint, std::size_t kindIndex, kind_record &kind, bool failed, mono_time now)
{
    endpoint.holdInterval = milliseconds::zero();
    auto stats = std::find_if(endpoint.kinds.begin(), endpoint.kinds.end(), [kindIndex](const endpoint_kind_stats &item) {
        return item.kind == kindIndex;
    });
    if (stats == endpoint.kinds.end()) {
        stats = endpoint.kinds.insert(stats, {kindIndex, 0});
        ++kind.reporting;
    }
    const double change = FailureStep * ((failed ? 1 : 0) - stats->failureRatio);
    stats->failureRatio += change;
    kind.failureSum += change;
    if (endpoint.excluded) {
        recordProbe(endpoint, failed, now);
        return;
    }
    if (kind.reporting < 2) {
        return; // There is no other endpoint to compare with.
    }
    const double others = (kind.failureSum - stats->failureRatio) / static_cast<double>(kind.reporting - 1);
    const double usual = std::clamp(others, LeastUsualRatio, FailingRatio);
    const double weight = failed ? std::log(FailingRatio / usual) : std::log((1 - FailingRatio) / (1 - usual));
    endpoint.suspicion = std::max(0.0, endpoint.suspicion + weight);
    if (endpoint.suspicion >= SuspicionLimit) {
        endpoint.excluded = true;
        endpoint.probing = false;
        endpoint.probeInterval = FirstProbe;
        endpoint.nextProbe = now + FirstProbe;
    }
}

// A probe that succeeds lets the endpoint return, half way to the next exclusion. Outcomes of tasks that were started
// before the exclusion are not counted.
void health_monitor::recordProbe(endpoint_record &endpoint, bool failed, mono_time now)
{
    if (!endpoint.probing) {
        return;
    }
    endpoint.probing = false;
    if (failed) {
        endpoint.probeInterval = std::min(endpoint.probeInterval * 2, LongestProbe);
        endpoint.nextProbe = now + endpoint.probeInterval;
        return;
    }
    endpoint.excluded = false;
    endpoint.suspicion = SuspicionLimit / 2;
}

// The hold grows with each refusal in a row, and ends for good with the first task that runs.
void health_monitor::recordSaturation(endpoint_record &endpoint, mono_time now)
{
    endpoint.holdInterval = endpoint.holdInterval == milliseconds::zero() ? FirstHold : std::min(endpoint.holdInterval * 2, LongestHold);
    endpoint.holdUntil = now + endpoint.holdInterval;
    if (endpoint.probing) {
        endpoint.probing = false;
        endpoint.nextProbe = now + endpoint.probeInterval;
    }
}

// Logarithms are used, since run times are spread over two powers of ten and a plain mean would follow the longest ones.
void health_monitor::recordRunTime(endpoint_record &endpoint, kind_record &kind, const task_outcome &outcome)
{
    const double value = std::log(static_cast<double>(std::max<std::int64_t>(1, outcome.runTime.count())));
    ++kind.runs;
    kind.logRunTime += std::max(RunTimeStep, 1.0 / static_cast<double>(kind.runs)) * (value - kind.logRunTime);
    ++endpoint.runs;
    endpoint.slowness += SlownessStep * (value - kind.logRunTime - endpoint.slowness);
}

std::uint32_t health_monitor::limit(const endpoint_record &endpoint)
{
    if (endpoint.runs < LeastRuns || endpoint.slowness < SlownessLimit) {
        return endpoint.info.slots;
    }
    return std::max(1U, static_cast<std::uint32_t>(endpoint.info.slots / std::exp(endpoint.slowness)));
}

} // namespace teaselward
