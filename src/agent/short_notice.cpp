#include "agent/short_notice.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace teaselward
{

namespace
{

using seconds = std::chrono::duration<double>;

// Probability that a run takes longer than a time, relative to the median of its distribution.
double exceeds(seconds time, seconds median)
{
    return time.count() <= 0 ? 1 : std::erfc(std::log(time / median) / (short_notice::Spread * std::numbers::sqrt2)) / 2;
}

seconds ageOf(const noticed_run &run, mono_time now)
{
    return std::max(seconds::zero(), seconds(now - run.startedAt));
}

} // namespace

double short_notice::missProbability(const noticed_run &run, std::chrono::microseconds remaining, mono_time now)
{
    if (remaining.count() <= 0) {
        return 1;
    }
    const seconds age = ageOf(run, now);
    if (run.expected.count() <= 0) {
        return age / (age + remaining);
    }
    const double hasNotEnded = exceeds(age, run.expected);
    // A run so late that the distribution says nothing is treated like one without an expected run time.
    return hasNotEnded > 0 ? exceeds(age + remaining, run.expected) / hasNotEnded : age / (age + remaining);
}

bool short_notice::isStopCheaper(const noticed_run &run, std::chrono::microseconds remaining, mono_time now)
{
    if (!run.restartable) {
        return false;
    }
    const seconds stopped = ageOf(run, now) + MoveCost + run.expected;
    const seconds lost = stopped + std::max(seconds::zero(), seconds(remaining));
    return stopped <= missProbability(run, remaining, now) * lost;
}

std::vector<task_id> short_notice::runsToStop(const std::vector<noticed_run> &runs, std::chrono::microseconds remaining, mono_time now)
{
    std::vector<task_id> stopped;
    for (const noticed_run &run : runs) {
        if (isStopCheaper(run, remaining, now)) {
            stopped.push_back(run.id);
        }
    }
    std::ranges::sort(stopped); // In a defined order, so that a seed replays exactly.
    return stopped;
}

} // namespace teaselward
