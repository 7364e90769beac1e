#pragma once

#include "base/clock.h"
#include "core/task_resources.h"

#include <chrono>
#include <cstdint>

namespace teaselward
{

/**
 * CPU that an endpoint keeps free for high-priority kinds, based on their average use in the last seconds. Without it, long
 * tasks take every slot that becomes free during a burst, and short urgent tasks find none.
 */
class priority_reserve
{
public:
    /**
     * Records the start of a high-priority task.
     * @param needs resources of the task
     * @param now current time
     */
    void started(const task_resources &needs, mono_time now);

    /**
     * Records the end of a high-priority task.
     * @param needs resources of the task
     * @param now current time
     */
    void ended(const task_resources &needs, mono_time now);

    /**
     * Computes how much CPU other kinds must leave free.
     * @param now current time
     * @return thousandths of a core
     */
    std::uint32_t unusedMillis(mono_time now);

private:
    void update(mono_time now);

    std::uint32_t m_used = 0; ///< CPU in use by high-priority tasks, in thousandths of a core.
    double m_average = 0; ///< Moving average of m_used.
    mono_time m_lastUpdate{};
};

} // namespace teaselward
