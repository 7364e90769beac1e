#include "sim/sim_stats.h"

#include <algorithm>
#include <cmath>

namespace teaselward
{

namespace
{

using seconds = std::chrono::duration<double>;

constexpr double HashScale = 1e6; // Results are rounded to millionths before they are hashed.

double secondsSinceStart(mono_time when)
{
    return seconds(when.time_since_epoch()).count();
}

// One FNV-1a step over an integer instead of a byte.
void mix(std::uint64_t &hash, double value)
{
    hash = (hash ^ static_cast<std::uint64_t>(std::llround(value * HashScale))) * 0x100000001b3U;
}

} // namespace

sim_stats::sim_stats(const sim_setup &setup)
    : m_setup(setup)
    , m_busySeconds(setup.entries, std::vector<double>(static_cast<std::size_t>(setup.duration.count()), 0))
{
}

bool sim_stats::isMeasured(mono_time when) const
{
    return when.time_since_epoch() >= m_setup.warmUp && when.time_since_epoch() < m_setup.duration;
}

double sim_stats::idealSeconds(std::chrono::microseconds runTime) const
{
    return seconds(runTime + 2 * m_setup.callerLatency).count();
}

void sim_stats::recordComplete(const sim_job &job, mono_time answered)
{
    kind_result &kind = kinds[job.kind];
    if (isMeasured(answered)) {
        for (const auto runTime : job.runTimes) {
            kind.goodput += seconds(runTime).count();
        }
    }
    if (!isMeasured(job.sent)) {
        return;
    }
    ++kind.complete;
    const double response = seconds(answered - job.sent).count();
    kind.responses.push_back(response);
    kind.ratios.push_back(response / idealSeconds(*std::max_element(job.runTimes.begin(), job.runTimes.end())));
    jobRatios.push_back(kind.ratios.back());
}

void sim_stats::recordTask(const sim_job &job, std::size_t task, mono_time answered)
{
    if (isMeasured(job.sent)) {
        taskRatios.push_back(seconds(answered - job.sent).count() / idealSeconds(job.runTimes[task]));
    }
}

void sim_stats::recordRefusal(const sim_job &job, std::chrono::nanoseconds taken)
{
    if (isMeasured(job.sent)) {
        ++kinds[job.kind].refused;
        refusalTimes.push_back(seconds(taken).count());
    }
}

void sim_stats::recordRun(std::size_t entry, mono_time from, std::chrono::microseconds runTime)
{
    started += isMeasured(from) ? 1 : 0;
    const double end = secondsSinceStart(from + runTime);
    for (double time = secondsSinceStart(from); time < end;) {
        const auto second = static_cast<std::size_t>(time);
        const double next = std::min(end, static_cast<double>(second + 1));
        if (second < m_busySeconds[entry].size()) {
            m_busySeconds[entry][second] += next - time;
        }
        time = next;
    }
}

double sim_stats::slotShare(std::size_t entry, std::size_t from, std::size_t to) const
{
    double sum = 0;
    for (std::size_t second = from; second < to; ++second) {
        sum += m_busySeconds[entry][second];
    }
    return sum / (static_cast<double>(to - from) * static_cast<double>(m_setup.workers) * m_setup.slots);
}

double sim_stats::goodput() const
{
    double sum = 0;
    for (const kind_result &kind : kinds) {
        sum += kind.goodput;
    }
    const auto measured = static_cast<double>((m_setup.duration - m_setup.warmUp).count());
    return sum / (measured * static_cast<double>(m_setup.workers) * m_setup.slots);
}

double sim_stats::wastedMessagesPerTask() const
{
    return started == 0 ? 0 : static_cast<double>(wastedMessages) / static_cast<double>(started);
}

std::uint64_t sim_stats::hash() const
{
    std::uint64_t hash = 0xcbf29ce484222325U;
    for (const kind_result &kind : kinds) {
        for (const double response : kind.responses) {
            mix(hash, response);
        }
        mix(hash, kind.goodput);
        mix(hash, static_cast<double>(kind.refused + kind.failed));
    }
    mix(hash, static_cast<double>(started));
    mix(hash, static_cast<double>(wastedMessages));
    mix(hash, detectionSeconds);
    mix(hash, static_cast<double>(failingWorkerStartsAfterDetection));
    return hash;
}

} // namespace teaselward
