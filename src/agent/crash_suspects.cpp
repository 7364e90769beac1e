#include "agent/crash_suspects.h"

#include "core/crash_age.h"

#include <algorithm>

namespace teaselward
{

void crash_suspects::add(std::string_view kind, std::chrono::milliseconds age, std::optional<std::chrono::milliseconds> earlierCrash)
{
    bool &isRepeated = m_isRepeated[std::string(kind)];
    isRepeated = isRepeated || (earlierCrash && isSameCrashAge(*earlierCrash, age));
    m_youngestAge = m_runs == 0 ? age : std::min(m_youngestAge, age);
    ++m_runs;
}

std::vector<crash_suspect> crash_suspects::list() const
{
    std::vector<crash_suspect> suspects;
    suspects.reserve(m_isRepeated.size());
    for (const auto &[kind, isRepeated] : m_isRepeated) {
        suspects.push_back({.kind = kind, .isRepeated = isRepeated});
    }
    return suspects;
}

std::size_t crash_suspects::runs() const
{
    return m_runs;
}

std::chrono::milliseconds crash_suspects::youngestAge() const
{
    return m_youngestAge;
}

} // namespace teaselward
