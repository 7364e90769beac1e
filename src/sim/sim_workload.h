#pragma once

#include "place/random_source.h"
#include "sim/sim_job.h"
#include "sim/sim_setup.h"

#include <chrono>
#include <cstddef>
#include <vector>

namespace teaselward
{

/**
 * Generates jobs of 1 to 20 tasks with Poisson arrivals. Run times are log-normal, 95 % of them between 50 ms and 1 s for the
 * middle kind; one task in a hundred runs for 2 to 6 s.
 */
class sim_workload
{
public:
    /** @param setup parameters of the run; must outlive the workload */
    explicit sim_workload(const sim_setup &setup);

    /** @return all jobs of the run, sorted by the time at which they are sent */
    std::vector<sim_job> jobs();

private:
    std::chrono::microseconds runTime(std::size_t kind, random_source &random) const;
    double meanRunTime(std::size_t kind) const;
    std::size_t drawEntry(random_source &random) const;

    const sim_setup &m_setup;
};

} // namespace teaselward
