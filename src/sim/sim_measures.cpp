#include "sim/sim_measures.h"

#include <algorithm>
#include <cmath>

namespace teaselward
{

namespace
{

using seconds = std::chrono::duration<double>;

constexpr double HashUnit = 1e6; // Results are hashed as whole millionths.

double sinceStart(mono_time when)
{
    return seconds(when.time_since_epoch()).count();
}

// FNV-1a over one number.
void mix(std::uint64_t &hash, double value)
{
    hash = (hash ^ static_cast<std::uint64_t>(std::llround(value * HashUnit))) * 0x100000001b3U;
}

} // namespace

sim_measures::sim_measures(const sim_setup &setup)
    : m_setup(setup)
    , m_busy(setup.entries, std::vector<double>(static_cast<std::size_t>(setup.length.count()), 0))
{
}

bool sim_measures::covers(mono_time when) const
{
    return when.time_since_epoch() >= m_setup.warmUp && when.time_since_epoch() < m_setup.length;
}

double sim_measures::idealSeconds(std::chrono::microseconds runTime) const
{
    return seconds(runTime + 2 * m_setup.callerLatency).count();
}

void sim_measures::recordComplete(const sim_job &job, mono_time answered)
{
    kind_result &kind = kinds[job.kind];
    if (covers(answered)) {
        for (const auto runTime : job.runTimes) {
            kind.goodput += seconds(runTime).count();
        }
    }
    if (!covers(job.sent)) {
        return;
    }
    ++kind.complete;
    const double response = seconds(answered - job.sent).count();
    kind.responses.push_back(response);
    kind.ratios.push_back(response / idealSeconds(*std::max_element(job.runTimes.begin(), job.runTimes.end())));
    jobRatios.push_back(kind.ratios.back());
}

void sim_measures::recordTask(const sim_job &job, std::size_t task, mono_time answered)
{
    if (covers(job.sent)) {
        taskRatios.push_back(seconds(answered - job.sent).count() / idealSeconds(job.runTimes[task]));
    }
}

void sim_measures::recordRefusal(const sim_job &job, std::chrono::nanoseconds taken)
{
    if (covers(job.sent)) {
        ++kinds[job.kind].refused;
        refusalTimes.push_back(seconds(taken).count());
    }
}

void sim_measures::recordRun(std::size_t entry, mono_time from, std::chrono::microseconds runTime)
{
    started += covers(from) ? 1 : 0;
    const double end = sinceStart(from + runTime);
    for (double at = sinceStart(from); at < end;) {
        const auto second = static_cast<std::size_t>(at);
        const double next = std::min(end, static_cast<double>(second + 1));
        if (second < m_busy[entry].size()) {
            m_busy[entry][second] += next - at;
        }
        at = next;
    }
}

double sim_measures::slotShare(std::size_t entry, std::size_t from, std::size_t to) const
{
    double sum = 0;
    for (std::size_t second = from; second < to; ++second) {
        sum += m_busy[entry][second];
    }
    return sum / (static_cast<double>(to - from) * static_cast<double>(m_setup.workers) * m_setup.slots);
}

double sim_measures::goodput() const
{
    double sum = 0;
    for (const kind_result &kind : kinds) {
        sum += kind.goodput;
    }
    const auto measured = static_cast<double>((m_setup.length - m_setup.warmUp).count());
    return sum / (measured * static_cast<double>(m_setup.workers) * m_setup.slots);
}

double sim_measures::wasted() const
{
    return started == 0 ? 0 : static_cast<double>(wastedMessages) / static_cast<double>(started);
}

std::uint64_t sim_measures::hash() const
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
    mix(hash, detected);
    mix(hash, static_cast<double>(faultyAfter));
    return hash;
}

} // namespace teaselward
