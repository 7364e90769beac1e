#include "agent/interference_monitor.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace teaselward
{

namespace
{

// Evidence at which a pair comes into force, as a logarithm. Each time the evidence rises from zero, it gets so far by chance with a
// probability of at most e^-11 = 0.000017. With thresholds of 3, 4 and 5, in 23, 6 and 0 of 1,000 minutes of an endpoint with three kinds
// and 60 runs/s a pair was found that did not exist, a factor of 4 for each step; 11 gives less than one in a million minutes.
constexpr double DetectionEvidence = 11;

// Evidence that confirms a pair in force again. A pair that was just detected is no longer one of many candidates.
constexpr double ConfirmationEvidence = 5;

// A pair in force is confirmed by some 100 matched runs. Longer times separate kinds in vain after the effect has ended; in shorter ones
// a kind with 6 runs/s has too few matched runs.
constexpr std::chrono::seconds PairRetention{120};

// A kind without a start for this long gives its place to another one.
constexpr std::chrono::seconds KindRetention{60};

// A run that is still in progress after this time is not compared, so that the later ones need not wait for it.
constexpr std::chrono::seconds MaxRunAge{10};

// Share of the usual run time in which the neighbours count. Most runs last at least as long, and it covers most of them.
constexpr double PeriodShare = 0.8;
constexpr std::chrono::milliseconds MinPeriod{1};
constexpr std::chrono::seconds MaxPeriod{5};

// Runs over which the usual ratio of a kind is averaged, and the limit of one run.
constexpr double AveragedRuns = 50;
constexpr double MaxLogRatio = 2;

// Bounds the memory. With 10 s it suffices for 100 runs/s.
constexpr std::size_t MaxRuns = 1024;

} // namespace

interference_monitor::interference_monitor()
    : m_pairs(MaxKinds * MaxKinds)
{
}

std::optional<std::uint8_t> interference_monitor::kindIndex(std::string_view name, mono_time now)
{
    const auto found = std::ranges::find(m_kinds, name, &monitored_kind::name);
    if (found != m_kinds.end()) {
        return static_cast<std::uint8_t>(found - m_kinds.begin());
    }
    if (m_kinds.size() < MaxKinds) {
        m_kinds.push_back({.name = std::string(name), .lastStart = now});
        return static_cast<std::uint8_t>(m_kinds.size() - 1);
    }
    for (std::size_t index = 0; index < MaxKinds; ++index) {
        if (isReplaceable(index, now)) {
            replaceKind(index, name, now);
            return static_cast<std::uint8_t>(index);
        }
    }
    return std::nullopt;
}

// A kind that is part of a pair in force keeps its place until the pair is dropped.
bool interference_monitor::isReplaceable(std::size_t index, mono_time now) const
{
    const monitored_kind &kind = m_kinds[index];
    return kind.running == 0 && kind.slowedBy == 0 && now - kind.lastStart >= KindRetention
        && std::ranges::none_of(m_kinds,
                                [index](const monitored_kind &other) {
                                    return (other.slowedBy >> index & 1U) != 0;
                                })
        && std::ranges::none_of(m_runs, [index](const monitored_run &run) {
               return run.kind == index;
           });
}

// The evidence of the former kind must not count for the new one.
void interference_monitor::replaceKind(std::size_t index, std::string_view name, mono_time now)
{
    m_kinds[index] = {.name = std::string(name), .lastStart = now};
    for (std::size_t other = 0; other < MaxKinds; ++other) {
        m_pairs[index * MaxKinds + other].reset();
        m_pairs[other * MaxKinds + index].reset();
    }
}

monitored_pair &interference_monitor::pairOf(std::size_t slowed, std::size_t slowing)
{
    std::unique_ptr<monitored_pair> &pair = m_pairs[slowed * MaxKinds + slowing];
    if (!pair) {
        pair = std::make_unique<monitored_pair>();
    }
    return *pair;
}

std::uint64_t interference_monitor::started(std::uint8_t kind, std::uint64_t job, std::chrono::microseconds expected, std::uint32_t tasks, mono_time now)
{
    monitored_kind &own = m_kinds[kind];
    own.lastStart = now;
    if (own.running++ == 0) {
        own.presence.change(true, now);
    }
    const auto usual = std::chrono::duration_cast<std::chrono::microseconds>(expected * (PeriodShare * std::exp(own.meanLogRatio)));
    const auto period = std::clamp<std::chrono::microseconds>(usual, MinPeriod, MaxPeriod);
    m_runs.push_back({.job = job, .startedAt = now, .period = period, .tasks = tasks, .kind = kind});
    return m_firstRun + m_runs.size() - 1;
}

std::vector<interference_change> interference_monitor::ended(std::uint8_t kind, std::uint64_t run, std::optional<double> ratio, mono_time now)
{
    std::vector<interference_change> changes;
    monitored_kind &own = m_kinds[kind];
    if (own.running > 0 && --own.running == 0) {
        own.presence.change(false, now);
    }
    if (run >= m_firstRun && run - m_firstRun < m_runs.size()) {
        monitored_run &found = m_runs[run - m_firstRun];
        found.hasEnded = true;
        found.isUsable = ratio.has_value() && std::isfinite(*ratio) && *ratio > 0;
        found.logRatio = found.isUsable ? static_cast<float>(std::log(*ratio)) : 0;
    }
    compareEnded(now, changes);
    return changes;
}

// Compares the runs in the order of their starts. In the order of their ends, those that are matched when the neighbour appears or
// disappears would be the short ones.
void interference_monitor::compareEnded(mono_time now, std::vector<interference_change> &changes)
{
    while (!m_runs.empty()) {
        const monitored_run &run = m_runs.front();
        const bool isComplete = run.hasEnded && run.startedAt + run.period <= now;
        if (!isComplete && m_runs.size() <= MaxRuns && now - run.startedAt <= MaxRunAge) {
            break;
        }
        if (isComplete && run.isUsable) {
            compare(run, now, changes);
        }
        m_runs.pop_front();
        ++m_firstRun;
    }
}

void interference_monitor::compare(const monitored_run &run, mono_time now, std::vector<interference_change> &changes)
{
    monitored_kind &kind = m_kinds[run.kind];
    if (isRepeated(kind, run.job)) {
        return;
    }
    kind.meanLogRatio += (std::clamp<double>(run.logRatio, -MaxLogRatio, MaxLogRatio) - kind.meanLogRatio) / AveragedRuns;
    for (std::size_t other = 0; other < m_kinds.size(); ++other) {
        const auto share = m_kinds[other].presence.share(run.startedAt, run.startedAt + run.period);
        if (other == run.kind || !share) {
            continue;
        }
        monitored_pair &pair = pairOf(run.kind, other);
        const double logRatio = run.logRatio - knownSlowdown(run, other);
        const bool isMatched = pair.test.add({.logRatio = logRatio, .share = *share, .tasks = run.tasks, .startedAt = run.startedAt});
        if (!isMatched || pair.test.evidence() < (pair.isInForce ? ConfirmationEvidence : DetectionEvidence)) {
            continue;
        }
        pair.test.restart();
        pair.confirmedAt = now;
        m_nextDue = std::min(m_nextDue, now + PairRetention);
        if (!pair.isInForce) {
            pair.isInForce = true;
            pair.since = now;
            kind.slowedBy |= 1U << other;
            changes.push_back({.pair = describe(run.kind, other), .isDetected = true});
        }
    }
}

// Estimates by how much the kinds that are known to slow the run have lengthened it, as a logarithm. Otherwise a kind that often runs
// beside the same tasks as one of them would be taken for a cause, too.
double interference_monitor::knownSlowdown(const monitored_run &run, std::size_t except) const
{
    double sum = 0;
    for (std::uint32_t left = m_kinds[run.kind].slowedBy & ~(1U << except); left != 0; left &= left - 1) {
        const auto slowing = static_cast<std::size_t>(std::countr_zero(left));
        const double share = m_kinds[slowing].presence.share(run.startedAt, run.startedAt + run.period).value_or(0);
        sum += share * std::log(m_pairs[run.kind * MaxKinds + slowing]->test.factor());
    }
    return sum;
}

// Checks whether a run of the same job was compared recently, and remembers the job.
bool interference_monitor::isRepeated(monitored_kind &kind, std::uint64_t job)
{
    if (std::ranges::find(kind.recentJobs, job) != kind.recentJobs.end()) {
        return true;
    }
    kind.recentJobs.at(kind.nextJob) = job;
    kind.nextJob = (kind.nextJob + 1) % kind.recentJobs.size();
    return false;
}

std::vector<interference_change> interference_monitor::expire(mono_time now)
{
    std::vector<interference_change> changes;
    if (now < m_nextDue) {
        return changes;
    }
    m_nextDue = mono_time::max();
    for (std::size_t slowed = 0; slowed < m_kinds.size(); ++slowed) {
        for (std::uint32_t left = m_kinds[slowed].slowedBy; left != 0; left &= left - 1) {
            const auto slowing = static_cast<std::size_t>(std::countr_zero(left));
            monitored_pair &pair = pairOf(slowed, slowing);
            if (now - pair.confirmedAt < PairRetention) {
                m_nextDue = std::min(m_nextDue, pair.confirmedAt + PairRetention);
                continue;
            }
            changes.push_back({.pair = describe(slowed, slowing), .inForceFor = std::chrono::duration_cast<std::chrono::milliseconds>(now - pair.since)});
            pair = {};
            m_kinds[slowed].slowedBy &= ~(1U << slowing);
        }
    }
    return changes;
}

mono_time interference_monitor::nextDue() const
{
    return m_nextDue;
}

kind_pair interference_monitor::describe(std::size_t slowed, std::size_t slowing) const
{
    const matched_test &test = m_pairs[slowed * MaxKinds + slowing]->test;
    return {.slowed = m_kinds[slowed].name, .slowing = m_kinds[slowing].name, .factor = test.factor(), .runs = test.pairs()};
}

std::vector<kind_pair> interference_monitor::pairs() const
{
    std::vector<kind_pair> found;
    for (std::size_t slowed = 0; slowed < m_kinds.size(); ++slowed) {
        for (std::uint32_t left = m_kinds[slowed].slowedBy; left != 0; left &= left - 1) {
            found.push_back(describe(slowed, static_cast<std::size_t>(std::countr_zero(left))));
        }
    }
    return found;
}

} // namespace teaselward
