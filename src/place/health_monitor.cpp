#include "place/health_monitor.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace teaselward
{

namespace
{

using std::chrono::milliseconds;

constexpr double FailureWeight = 1.0 / 8; // Weight of a new outcome in a failure ratio.
constexpr double FailingRatio = 0.5; // Failure ratio of an endpoint that the sequential test in recordRun() must detect.
constexpr double MinUsualRatio = 0.05; // Lower bound of the usual failure ratio, so that one failure proves nothing.
constexpr double SuspicionLimit = 9; // Four consecutive failures where others have none; a false alarm once in e^9 outcomes.
// The time between probes of an excluded endpoint doubles from the minimum to the maximum while the probes fail.
constexpr milliseconds MinProbeInterval(500);
constexpr milliseconds MaxProbeInterval(30000);
// The time without tasks after a refused start doubles likewise with each consecutive refusal.
constexpr milliseconds MinBackoff(20);
constexpr milliseconds MaxBackoff(500);
constexpr milliseconds MaxSlowProbeInterval(2000); // MaxProbeInterval of an endpoint excluded as slow. A recovered endpoint gets work again soon.
constexpr double RunTimeWeight = 1.0 / 512; // Weight of a new outcome in the usual run time of a kind.
constexpr std::size_t MinRuns = 32; // Outcomes of a kind that are needed before its usual run time is used.
// Run times up to 1.8 times the usual ones (log scale) do not add to the slowness. Within a kind the logarithms of the
// run times spread by 0.4.
constexpr double SlownessDrift = 0.6;
// Reached by three consecutive runs that take five times as long; with the usual spread a false alarm occurs once in e^20
// outcomes.
constexpr double SlownessLimit = 3;
// Limit for one run: a single task of several seconds among short ones does not indicate a slow endpoint.
constexpr double MaxSlownessPerRun = 1;
constexpr double SlowProbeExcess = 0.8; // A probe that takes 2.2 times the usual time (log scale) shows that the endpoint is still slow.

} // namespace

// Only a task that ran counts as success or failure; a refused start indicates saturation, and an unknown outcome is neither.
void health_monitor::record(
    endpoint_record &endpoint, std::size_t kindIndex, kind_record &kind, const task_outcome &outcome, mono_time now, double usualFactor) const
{
    switch (outcome.verdict) {
    case task_verdict::succeeded: {
        const double excess = recordRunTime(endpoint, kind, outcome, usualFactor);
        if (endpoint.excluded && endpoint.isSlow && excess > SlowProbeExcess) {
            recordProbe(endpoint, true, now);
        } else {
            recordRun(endpoint, kindIndex, kind, false, now);
        }
        break;
    }
    case task_verdict::failed:
        recordRun(endpoint, kindIndex, kind, true, now);
        break;
    case task_verdict::notStarted:
        // A revoked start says nothing about the endpoint; only a refusal for a reason of the endpoint does.
        if (outcome.why == reason::overloaded || outcome.why == reason::noEndpoint) {
            recordSaturation(endpoint, now);
        } else if (outcome.why == reason::evacuated) {
            recordEvacuation(endpoint, now);
        }
        break;
    case task_verdict::interrupted:
        // A stopped run says nothing about the endpoint, unless it was stopped because it stalled.
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

// Sequential test (CUSUM) of "fails half of its tasks" against the failure ratio of the other endpoints for the same kind. A
// kind that fails everywhere has a high ratio at the others and so adds nothing. Ratios are averaged over endpoints rather than
// outcomes, since an endpoint that fails fast would dominate the outcomes.
void health_monitor::recordRun(endpoint_record &endpoint, std::size_t kindIndex, kind_record &kind, bool failed, mono_time now)
{
    endpoint.backoffInterval = milliseconds::zero();
    auto stats = std::find_if(endpoint.kinds.begin(), endpoint.kinds.end(), [kindIndex](const endpoint_kind_stats &item) {
        return item.kind == kindIndex;
    });
    if (stats == endpoint.kinds.end()) {
        stats = endpoint.kinds.insert(stats, {kindIndex, 0});
        ++kind.reporting;
    }
    const double change = FailureWeight * ((failed ? 1 : 0) - stats->failureRatio);
    stats->failureRatio += change;
    kind.failureSum += change;
    if (endpoint.excluded) {
        recordProbe(endpoint, failed, now);
        return;
    }
    if (kind.reporting < 2) {
        return; // No other endpoint to compare with.
    }
    const double others = (kind.failureSum - stats->failureRatio) / static_cast<double>(kind.reporting - 1);
    const double usual = std::clamp(others, MinUsualRatio, FailingRatio);
    const double weight = failed ? std::log(FailingRatio / usual) : std::log((1 - FailingRatio) / (1 - usual));
    endpoint.suspicion = std::max(0.0, endpoint.suspicion + weight);
    if (endpoint.suspicion >= SuspicionLimit) {
        exclude(endpoint, now);
    }
}

void health_monitor::exclude(endpoint_record &endpoint, mono_time now)
{
    endpoint.excluded = true;
    endpoint.probing = false;
    endpoint.probeInterval = MinProbeInterval;
    endpoint.nextProbe = now + MinProbeInterval;
}

bool health_monitor::isSlow(const endpoint_record &endpoint)
{
    return endpoint.slowness >= SlownessLimit;
}

void health_monitor::excludeSlow(endpoint_record &endpoint, mono_time now)
{
    endpoint.isSlow = true;
    exclude(endpoint, now);
}

// A successful probe readmits the endpoint, with the sum that caused its exclusion at half the limit. Outcomes
// of tasks that were started before the exclusion are ignored.
void health_monitor::recordProbe(endpoint_record &endpoint, bool failed, mono_time now)
{
    if (!endpoint.probing) {
        return;
    }
    endpoint.probing = false;
    if (failed) {
        endpoint.probeInterval = std::min(endpoint.probeInterval * 2, endpoint.isSlow ? MaxSlowProbeInterval : MaxProbeInterval);
        endpoint.nextProbe = now + endpoint.probeInterval;
        return;
    }
    endpoint.excluded = false;
    endpoint.suspicion = endpoint.isSlow ? 0 : SuspicionLimit / 2;
    endpoint.slowness = endpoint.isSlow ? SlownessLimit / 2 : 0;
    endpoint.isSlow = false;
}

// The backoff grows with each consecutive refusal and is reset by the first task that runs.
void health_monitor::recordSaturation(endpoint_record &endpoint, mono_time now)
{
    endpoint.backoffInterval = endpoint.backoffInterval == milliseconds::zero() ? MinBackoff : std::min(endpoint.backoffInterval * 2, MaxBackoff);
    endpoint.backoffUntil = now + endpoint.backoffInterval;
    if (endpoint.probing) {
        endpoint.probing = false;
        endpoint.nextProbe = now + endpoint.probeInterval;
    }
}

// The entry has not learned of the evacuation yet. The short pause makes it place the task elsewhere at once; it does not grow, because
// the refusal is no fault of the endpoint.
void health_monitor::recordEvacuation(endpoint_record &endpoint, mono_time now)
{
    endpoint.backoffUntil = std::max(endpoint.backoffUntil, now + MinBackoff);
    if (endpoint.probing) {
        endpoint.probing = false;
        endpoint.nextProbe = now + endpoint.probeInterval;
    }
}

// Uses logarithms because run times spread over two orders of magnitude and a plain mean would follow the longest ones.
// Slowness is a sequential test (CUSUM) like that for failures, so that a few tasks reveal an endpoint that takes several times
// as long. An endpoint that is slower for long is compared with its own usual run times.
double health_monitor::recordRunTime(endpoint_record &endpoint, kind_record &kind, const task_outcome &outcome, double usualFactor)
{
    const double value = std::log(static_cast<double>(std::max<std::int64_t>(1, outcome.runTime.count()))) - std::log(usualFactor);
    const double excess = kind.runs < MinRuns ? 0 : value - kind.logRunTime;
    ++kind.runs;
    kind.logRunTime += std::max(RunTimeWeight, 1.0 / static_cast<double>(kind.runs)) * (value - kind.logRunTime);
    endpoint.slowness = std::max(0.0, endpoint.slowness + std::min(excess - SlownessDrift, MaxSlownessPerRun));
    return excess;
}

} // namespace teaselward
