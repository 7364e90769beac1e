#pragma once

#include <chrono>
#include <cstdint>

namespace teaselward
{

/** Measured run time of the tasks of one kind. Declared run times are not used. */
class run_time_estimate
{
public:
    /**
     * Adds a measurement.
     * @param runTime run time of a task that succeeded
     */
    void add(std::chrono::microseconds runTime);

    /** @return moving average in slot seconds; a typical value while there is no measurement */
    double mean() const
    {
        return m_mean;
    }

    /** @return whether there are enough measurements to refuse a job because of its deadline */
    bool isReliable() const;

private:
    double m_mean = 0.3; ///< Seconds; a typical run time until there is a measurement.
    std::uint64_t m_count = 0;
};

} // namespace teaselward
