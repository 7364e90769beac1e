#pragma once

#include "core/task_resources.h"

#include <cstdint>

namespace teaselward
{

/** Resources of an endpoint and what the tasks on it have reserved. Only an agent starts tasks on its endpoint. */
class endpoint_resources
{
public:
    /**
     * Creates the room of an idle endpoint.
     * @param capacity resources of the endpoint; nothing is limited if all are zero
     */
    explicit endpoint_resources(const task_resources &capacity);

    /**
     * Tells whether a task fits beside those that run.
     * @param needs what the task takes
     * @param reservedMillis thousandths of a core that it must leave free
     */
    bool fits(const task_resources &needs, std::uint32_t reservedMillis = 0) const;

    /**
     * Tells whether a task would fit into the idle endpoint.
     * @param needs what the task takes
     */
    bool canEverFit(const task_resources &needs) const;

    /**
     * Reserves the resources of a task that fits.
     * @param needs what the task takes
     */
    void take(const task_resources &needs);

    /**
     * Frees the resources of a task whose end is known.
     * @param needs what the task had taken
     */
    void release(const task_resources &needs);

private:
    bool isLimited() const;

    task_resources m_capacity;
    task_resources m_used;
};

} // namespace teaselward
