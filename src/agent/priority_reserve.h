#pragma once

#include "base/clock.h"
#include "core/task_resources.h"

#include <chrono>
#include <cstdint>

namespace teaselward
{

/**
 * Processor time that an endpoint keeps free of other kinds for the kinds that come first: what they used on average in the last
 * seconds. Answers the bursts in which long tasks take every slot that becomes free, so that short urgent ones find none.
 */
class priority_reserve
{
public:
    /**
     * Counts a task of a kind that comes first as running.
     * @param needs what it takes
     * @param now present time
     */
    void started(const task_resources &needs, mono_time now);

    /**
     * Counts such a task as ended.
     * @param needs what it took
     * @param now present time
     */
    void ended(const task_resources &needs, mono_time now);

    /**
     * Tells what other kinds must leave free.
     * @param now present time
     * @return thousandths of a core
     */
    std::uint32_t unusedMillis(mono_time now);

private:
    void observe(mono_time now);

    std::uint32_t m_used = 0; ///< Thousandths of a core in use now.
    double m_average = 0; ///< The same on average.
    mono_time m_last{};
};

} // namespace teaselward
