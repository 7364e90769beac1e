#include "job/crash_history.h"

#include "core/crash_age.h"

namespace teaselward
{

namespace
{

// Bounds the endpoints that a task can crash at different ages of its run; a healthy task is rarely lost with three endpoints in a row.
constexpr std::uint32_t MaxCrashes = 3;

} // namespace

void crash_history::add(std::chrono::milliseconds age)
{
    m_isRepeated = m_isRepeated || (m_lastAge && isSameCrashAge(*m_lastAge, age));
    m_lastAge = age;
    ++m_count;
}

bool crash_history::isExhausted() const
{
    return m_isRepeated || m_count >= MaxCrashes;
}

bool crash_history::isSuspect() const
{
    return m_count > 0;
}

const std::optional<std::chrono::milliseconds> &crash_history::lastAge() const
{
    return m_lastAge;
}

} // namespace teaselward
