#include "metrics/run_metrics.h"

#include "core/reason_text.h"
#include "metrics/duration_distribution.h"
#include "metrics/exposition_writer.h"
#include "metrics/write_durations.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <array>
#include <cstdint>
#include <map>
#include <string_view>
#include <utility>

namespace teaselward
{

namespace
{

// Indexed by the value of the enumerator.
constexpr std::array<std::string_view, 5> Verdicts = {"succeeded", "failed", "not_started", "unknown", "interrupted"};

} // namespace

namespace detail
{

class run_metrics_private
{
public:
    mutable absl::Mutex mutex;
    std::map<std::pair<task_verdict, reason>, duration_distribution> runs ABSL_GUARDED_BY(mutex);
    std::uint64_t moved ABSL_GUARDED_BY(mutex) = 0;
    std::uint64_t unanswered ABSL_GUARDED_BY(mutex) = 0;
    std::uint64_t instances ABSL_GUARDED_BY(mutex) = 0;
    std::uint64_t crashes ABSL_GUARDED_BY(mutex) = 0;
    double runTimeFactor ABSL_GUARDED_BY(mutex) = 0;
};

} // namespace detail

run_metrics::run_metrics()
    : d(std::make_unique<detail::run_metrics_private>())
{
}

run_metrics::~run_metrics() = default;

void run_metrics::countRun(const task_outcome &outcome)
{
    const absl::MutexLock lock(&d->mutex);
    d->runs[{outcome.verdict, outcome.why}].add(outcome.runTime);
    d->moved += outcome.verdict == task_verdict::interrupted && outcome.why == reason::draining ? 1 : 0;
}

void run_metrics::countUnansweredCall()
{
    const absl::MutexLock lock(&d->mutex);
    ++d->unanswered;
}

void run_metrics::countEndpointInstance()
{
    const absl::MutexLock lock(&d->mutex);
    ++d->instances;
}

void run_metrics::countEndpointCrash()
{
    const absl::MutexLock lock(&d->mutex);
    ++d->crashes;
}

void run_metrics::setRunTimeFactor(double factor)
{
    const absl::MutexLock lock(&d->mutex);
    d->runTimeFactor = factor;
}

std::string run_metrics::text() const
{
    const absl::MutexLock lock(&d->mutex);
    exposition_writer writer;
    writer.family("teaselward_run_seconds", "summary", "Time from the order of a run to its end, by verdict and reason.");
    for (const auto &[key, durations] : d->runs) {
        const std::string_view verdict = Verdicts.at(static_cast<std::size_t>(key.first));
        writeDurations(writer, "teaselward_run_seconds", {"verdict", verdict}, {"reason", reasonText(key.second)}, durations);
    }
    writer.family("teaselward_moved_runs_total", "counter", "Runs that were stopped at an announced end of the endpoint and moved elsewhere.");
    writer.sample("teaselward_moved_runs_total", {}, static_cast<double>(d->moved));
    writer.family("teaselward_unanswered_calls_total", "counter", "Calls to the endpoint without an answer.");
    writer.sample("teaselward_unanswered_calls_total", {}, static_cast<double>(d->unanswered));
    writer.family("teaselward_endpoint_lives_total", "counter", "Instances of the endpoint that were adopted.");
    writer.sample("teaselward_endpoint_lives_total", {}, static_cast<double>(d->instances));
    writer.family("teaselward_endpoint_crashes_total", "counter", "Lives of the endpoint that ended while runs were in progress.");
    writer.sample("teaselward_endpoint_crashes_total", {}, static_cast<double>(d->crashes));
    writer.family("teaselward_run_time_factor", "gauge", "Run times at the endpoint over those that the entries expect; 0 until it is known.");
    writer.sample("teaselward_run_time_factor", {}, d->runTimeFactor);
    return writer.take();
}

} // namespace teaselward
