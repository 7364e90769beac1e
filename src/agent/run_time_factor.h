#pragma once

#include "base/clock.h"

#include <chrono>
#include <utility>
#include <vector>

namespace teaselward
{

/**
 * Learns how long runs at an endpoint take compared with the run times that the entries expect at a usual endpoint. The factor is the
 * weighted geometric mean of the ratios of successful runs. Short runs count little, because the fixed cost of a call dominates
 * them; the last few seconds count most; single outliers are limited.
 */
class run_time_factor
{
public:
    /**
     * Adds a successful run.
     * @param runTime measured run time
     * @param expected run time that the entry expected; the run is ignored if it is zero
     * @param now current time
     */
    void add(std::chrono::microseconds runTime, std::chrono::microseconds expected, mono_time now);

    /** @return the factor, from 0.01 to 100; zero until there are enough runs */
    double value() const;

private:
    /** Logarithm of a ratio and its weight. */
    using sample = std::pair<double, double>;

    void addFirst(sample one);

    std::vector<sample> m_first; ///< Runs until the first value; empty afterwards.
    double m_logFactor = 0;
    double m_weight = 0; ///< Total weight of the runs in m_logFactor; zero until there is a value.
    mono_time m_updated{}; ///< Time of the latest run.
};

} // namespace teaselward
