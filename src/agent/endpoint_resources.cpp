#include "agent/endpoint_resources.h"

namespace teaselward
{

namespace
{

bool isWithin(const task_resources &used, const task_resources &needs, const task_resources &capacity)
{
    return std::uint64_t{used.cpuMillis} + needs.cpuMillis <= capacity.cpuMillis && std::uint64_t{used.memoryMb} + needs.memoryMb <= capacity.memoryMb
        && std::uint64_t{used.gpus} + needs.gpus <= capacity.gpus;
}

} // namespace

endpoint_resources::endpoint_resources(const std::optional<task_resources> &capacity)
    : m_capacity(capacity)
{
}

void endpoint_resources::resize(const task_resources &capacity)
{
    m_capacity = capacity;
}

bool endpoint_resources::fits(const task_resources &needs, std::uint32_t reservedMillis) const
{
    task_resources reserved = m_used;
    reserved.cpuMillis += reservedMillis;
    return !m_capacity || isWithin(reserved, needs, *m_capacity);
}

bool endpoint_resources::canEverFit(const task_resources &needs) const
{
    return !m_capacity || isWithin({}, needs, *m_capacity);
}

void endpoint_resources::reserve(const task_resources &needs)
{
    m_used.cpuMillis += needs.cpuMillis;
    m_used.memoryMb += needs.memoryMb;
    m_used.gpus += needs.gpus;
}

void endpoint_resources::release(const task_resources &needs)
{
    m_used.cpuMillis -= needs.cpuMillis;
    m_used.memoryMb -= needs.memoryMb;
    m_used.gpus -= needs.gpus;
}

} // namespace teaselward
