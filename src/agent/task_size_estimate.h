#pragma once

#include "core/task_resources.h"

#include <cstdint>

namespace teaselward
{

/** Estimates how many tasks an endpoint runs at once, from the processor time that the tasks ask for. */
class task_size_estimate
{
public:
    /**
     * Creates an estimate without samples.
     * @param capacity resources of the endpoint
     * @param slots number of tasks until samples are known, and always if the capacity is zero
     */
    task_size_estimate(const task_resources &capacity, std::uint32_t slots);

    /**
     * Adds a sample.
     * @param needs what an ordered task takes
     */
    void add(const task_resources &needs);

    /**
     * Tells how many tasks of the mean size fit into the endpoint.
     * @param reservedMillis thousandths of a core that they must leave free
     * @return the number, at least one
     */
    std::uint32_t slots(std::uint32_t reservedMillis = 0) const;

    /** @return whether the resources of the endpoint limit the tasks, and not their number */
    bool isLimitedByResources() const;

private:
    task_resources m_capacity;
    std::uint32_t m_slots;
    double m_mean = 0; ///< Thousandths of a core.
};

} // namespace teaselward
