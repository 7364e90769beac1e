#pragma once

#include "core/task_resources.h"

#include <cstdint>

namespace teaselward
{

/** Estimates how many tasks an endpoint can run at once from the CPU that recent tasks requested. */
class task_size_estimate
{
public:
    /**
     * Creates an estimate without samples.
     * @param capacity resources of the endpoint
     * @param slots number of tasks to assume until there is a sample, and always if the capacity is zero
     */
    task_size_estimate(const task_resources &capacity, std::uint32_t slots);

    /**
     * Adds a sample.
     * @param needs resources of a requested task
     */
    void add(const task_resources &needs);

    /**
     * Computes how many tasks of mean size fit into the endpoint.
     * @param reservedMillis CPU that must stay free, in thousandths of a core
     * @return number of tasks, at least one
     */
    std::uint32_t slots(std::uint32_t reservedMillis = 0) const;

    /** @return whether tasks are limited by resources rather than by slots */
    bool isLimitedByResources() const;

private:
    task_resources m_capacity;
    std::uint32_t m_slots;
    double m_mean = 0; ///< Mean CPU of a task in thousandths of a core; zero without samples.
};

} // namespace teaselward
