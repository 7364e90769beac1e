#pragma once

#include "core/task_resources.h"

#include <cstdint>
#include <optional>

namespace teaselward
{

/** Estimates how many tasks an endpoint can run at once from the CPU that recent tasks requested. */
class task_size_estimate
{
public:
    /**
     * Creates an estimate without samples.
     * @param capacity resources of the endpoint; empty if only its slots limit it
     * @param slots number of tasks to assume until there is a sample, and always without a capacity
     */
    task_size_estimate(const std::optional<task_resources> &capacity, std::uint32_t slots);

    /**
     * Changes the capacity of a limited endpoint.
     * @param capacity resources of the endpoint
     */
    void resize(const task_resources &capacity);

    /**
     * Adds a sample.
     * @param needs resources of a requested task
     */
    void add(const task_resources &needs);

    /**
     * Computes how many tasks of mean size fit into the endpoint.
     * @param reservedMillis CPU that must stay free, in thousandths of a core
     * @return number of tasks, at least one unless the endpoint has no CPU at all
     */
    std::uint32_t slots(std::uint32_t reservedMillis = 0) const;

    /**
     * Computes how many tasks the endpoint can run at once, given what the running ones use. With many small tasks the sum of their sizes differs
     * from their number times the mean, so that slots() leaves out processors that are free.
     * @param running number of running tasks
     * @param takenMillis CPU that they use or that must stay free, in thousandths of a core
     * @return running tasks and further tasks of mean size, at least one unless the endpoint has no CPU at all
     */
    std::uint32_t slotsBeside(std::uint32_t running, std::uint32_t takenMillis) const;

private:
    std::optional<task_resources> m_capacity;
    std::uint32_t m_slots;
    double m_mean = 0; ///< Mean CPU of a task in thousandths of a core; zero without samples.
};

} // namespace teaselward
