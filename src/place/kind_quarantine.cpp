#include "place/kind_quarantine.h"

#include <algorithm>
#include <chrono>

namespace teaselward
{

namespace
{

using std::chrono::milliseconds;

// Eight jobs of eight tasks. A kind with few jobs that crash endpoints can pass this by chance, so the number doubles with each relapse.
constexpr std::uint32_t MinSuccesses = 64;
constexpr std::uint32_t MaxSuccesses = 512;

constexpr milliseconds MinQuietTime{2000}; // All isolated endpoints may be away for this long after a crash.

// Releases a kind whose jobs are too rare for the successes. The isolated endpoints are back after three seconds, and the other two
// show whether its tasks still crash them.
constexpr milliseconds QuietTime{5000};
constexpr milliseconds MaxQuietTime{20000};
constexpr milliseconds RelapseTime{30000}; // A kind that is quarantined again within this time needs more successes.

} // namespace

std::vector<std::string> kind_quarantine::recordCrash(const std::vector<crash_suspect> &suspects, mono_time now)
{
    bool isExplained = false;
    for (const crash_suspect &suspect : suspects) {
        if (contains(suspect.kind)) {
            isExplained = true;
            if (suspect.isRepeated) {
                continue; // The task was counted at its first crash and says nothing about the jobs that arrive now.
            }
            quarantine_record &kind = m_kinds.find(suspect.kind)->second;
            kind.lastCrash = now;
            kind.successes = 0;
        }
    }
    std::vector<std::string> added;
    for (const crash_suspect &suspect : suspects) {
        if (!isExplained && suspect.isRepeated) {
            quarantine(m_kinds[suspect.kind], now);
            added.push_back(suspect.kind);
        }
    }
    return added;
}

void kind_quarantine::quarantine(quarantine_record &kind, mono_time now)
{
    const bool isRelapse = kind.required > 0 && now - kind.releasedAt < RelapseTime;
    kind.required = isRelapse ? std::min(kind.required * 2, MaxSuccesses) : MinSuccesses;
    kind.quietTime = isRelapse ? std::min(kind.quietTime * 2, MaxQuietTime) : QuietTime;
    kind.isQuarantined = true;
    kind.lastCrash = now;
    kind.successes = 0;
    ++m_quarantined;
}

void kind_quarantine::recordSuccess(std::string_view kind)
{
    if (contains(kind)) {
        ++m_kinds.find(kind)->second.successes;
    }
}

std::vector<std::string> kind_quarantine::release(mono_time now)
{
    std::vector<std::string> released;
    if (isEmpty()) {
        return released;
    }
    for (auto &[name, kind] : m_kinds) {
        const milliseconds quietTime = kind.successes >= kind.required ? MinQuietTime : kind.quietTime;
        if (kind.isQuarantined && now - kind.lastCrash >= quietTime) {
            kind.isQuarantined = false;
            kind.releasedAt = now;
            --m_quarantined;
            released.push_back(name);
        }
    }
    return released;
}

bool kind_quarantine::contains(std::string_view kind) const
{
    if (isEmpty()) {
        return false;
    }
    const auto found = m_kinds.find(kind);
    return found != m_kinds.end() && found->second.isQuarantined;
}

bool kind_quarantine::isEmpty() const
{
    return m_quarantined == 0;
}

} // namespace teaselward
