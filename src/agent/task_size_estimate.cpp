#include "agent/task_size_estimate.h"

#include <algorithm>

namespace teaselward
{

namespace
{

// A gap of this many mean tasks counts as a slot: half of the tasks are smaller than 0.9 of the mean, and a start that does not fit is held until
// the next task ends. With 0.5 too many starts of 13 entries collide at ten slots.
constexpr double MinGap = 0.8;

constexpr double SampleWeight = 1.0 / 32; // The mean follows a change of the load within a second.

} // namespace

task_size_estimate::task_size_estimate(const std::optional<task_resources> &capacity, std::uint32_t slots)
    : m_capacity(capacity)
    , m_slots(slots)
{
}

void task_size_estimate::resize(const task_resources &capacity)
{
    m_capacity = capacity;
}

void task_size_estimate::add(const task_resources &needs)
{
    if (needs.cpuMillis > 0) {
        m_mean += (m_mean == 0 ? 1 : SampleWeight) * (needs.cpuMillis - m_mean);
    }
}

std::uint32_t task_size_estimate::slots(std::uint32_t reservedMillis) const
{
    if (m_capacity && m_capacity->cpuMillis == 0) {
        return 0;
    }
    if (!m_capacity || m_mean == 0) {
        return m_slots;
    }
    const std::uint32_t usable = m_capacity->cpuMillis - std::min(m_capacity->cpuMillis, reservedMillis);
    return std::max(1U, static_cast<std::uint32_t>(usable / m_mean));
}

std::uint32_t task_size_estimate::slotsBeside(std::uint32_t running, std::uint32_t takenMillis) const
{
    if (!m_capacity || m_mean == 0 || m_capacity->cpuMillis == 0) {
        return slots();
    }
    const std::uint32_t free = m_capacity->cpuMillis - std::min(m_capacity->cpuMillis, takenMillis);
    return std::max(1U, running + static_cast<std::uint32_t>(free / m_mean + 1 - MinGap));
}

} // namespace teaselward
