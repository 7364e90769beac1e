#pragma once

#include "cli/load_job.h"
#include "cli/load_settings.h"

#include <random>

namespace teaselward
{

/** Random sequence of jobs with Poisson arrivals. The arrivals do not depend on the answers (open loop). */
class load_plan
{
public:
    /**
     * Creates the sequence, which is determined by the settings.
     * @param settings settings of the run; they must outlive the plan
     */
    explicit load_plan(const load_settings &settings);

    /** @return the next job */
    load_job next();

private:
    std::chrono::milliseconds drawRunTime();

    const load_settings &m_settings;
    std::mt19937 m_random;
    double m_seconds = 0;
};

} // namespace teaselward
