#include "agent/crash_suspects.h"

#include "core/crash_age.h"

#include <algorithm>

namespace teaselward
{

void crash_suspects::add(std::string_view kind, std::chrono::milliseconds age, std::optional<std::chrono::milliseconds> earlierCrash)
{
    m_kinds.emplace(kind);
    m_youngestAge = m_runs == 0 ? age : std::min(m_youngestAge, age);
    ++m_runs;
    if (!earlierCrash || !isSameCrashAge(*earlierCrash, age)) {
        return;
    }
    const std::chrono::milliseconds difference = std::max(age, *earlierCrash) - std::min(age, *earlierCrash);
    if (m_repeated.empty() || difference < m_difference) {
        m_repeated = kind;
        m_difference = difference;
    }
}

std::vector<crash_suspect> crash_suspects::list() const
{
    std::vector<crash_suspect> suspects;
    suspects.reserve(m_kinds.size());
    for (const std::string &kind : m_kinds) {
        suspects.push_back({.kind = kind, .isRepeated = kind == m_repeated});
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
