#pragma once

#include <chrono>
#include <cstdint>

namespace teaselward
{

/** Run time of the tasks of one kind as measured; declared run times are never used. */
class run_time_estimate
{
public:
    /**
     * Adds a measurement.
     * @param runTime run time of a task that ran
     */
    void add(std::chrono::microseconds runTime);

    /** @return moving average in seconds of a slot, or a usual value as long as nothing is measured */
    double mean() const
    {
        return m_mean;
    }

    /** @return whether there are enough measurements to refuse a job for its deadline */
    bool isReliable() const;

private:
    double m_mean = 0.3; ///< Middle of the usual run times until there is a measurement.
    std::uint64_t m_count = 0;
};

} // namespace teaselward
