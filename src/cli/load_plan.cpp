#include "cli/load_plan.h"

#include <algorithm>
#include <cmath>

namespace teaselward
{

load_plan::load_plan(const load_settings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
{
}

load_job load_plan::next()
{
    m_seconds += std::exponential_distribution<double>(m_settings.rate)(m_random);
    load_job job;
    job.arrival = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::duration<double>(m_seconds));
    const auto tasks = std::uniform_int_distribution<std::uint32_t>(m_settings.tasksMin, m_settings.tasksMax)(m_random);
    for (std::uint32_t i = 0; i < tasks; ++i) {
        const auto runTime = drawRunTime();
        job.longest = std::max(job.longest, runTime);
        job.payloads.push_back(std::to_string(runTime.count()));
    }
    return job;
}

std::chrono::milliseconds load_plan::drawRunTime()
{
    const auto median = static_cast<double>(m_settings.runTimeMedian.count());
    if (median <= 0) {
        return std::chrono::milliseconds(0);
    }
    const double drawn = std::lognormal_distribution<double>(std::log(median), m_settings.runTimeSigma)(m_random);
    const double bounded = std::clamp(drawn, static_cast<double>(m_settings.runTimeMin.count()), static_cast<double>(m_settings.runTimeMax.count()));
    return std::chrono::milliseconds(std::llround(bounded));
}

} // namespace teaselward
