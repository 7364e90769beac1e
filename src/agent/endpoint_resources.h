#pragma once

#include "core/task_resources.h"

#include <cstdint>
#include <optional>

namespace teaselward
{

/**
 * Tracks how much of an endpoint's resources is reserved by running tasks. The count is exact because only the agent starts
 * tasks on its endpoint.
 */
class endpoint_resources
{
public:
    /**
     * Creates the record of an idle endpoint.
     * @param capacity resources of the endpoint; empty means unlimited
     */
    explicit endpoint_resources(const std::optional<task_resources> &capacity);

    /**
     * Changes the capacity of a limited endpoint. Reserved resources stay reserved and may exceed it.
     * @param capacity resources of the endpoint
     */
    void resize(const task_resources &capacity);

    /**
     * Checks whether a task fits beside the running ones.
     * @param needs resources of the task
     * @param reservedMillis CPU that must stay free, in thousandths of a core
     */
    bool fits(const task_resources &needs, std::uint32_t reservedMillis = 0) const;

    /**
     * Checks whether a task would fit into the idle endpoint.
     * @param needs resources of the task
     */
    bool canEverFit(const task_resources &needs) const;

    /**
     * Reserves the resources of a task that fits.
     * @param needs resources of the task
     */
    void reserve(const task_resources &needs);

    /**
     * Frees the resources of a task that has ended.
     * @param needs resources of the task
     */
    void release(const task_resources &needs);

    /** @return CPU reserved by running tasks, in thousandths of a core */
    std::uint32_t usedMillis() const
    {
        return m_used.cpuMillis;
    }

private:
    std::optional<task_resources> m_capacity;
    task_resources m_used;
};

} // namespace teaselward
