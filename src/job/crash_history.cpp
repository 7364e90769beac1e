#include "job/crash_history.h"

#include "core/crash_age.h"

namespace teaselward
{

namespace
{

// A run is lost to a crash of another cause so rarely that three in a row leave no doubt about the task.
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
