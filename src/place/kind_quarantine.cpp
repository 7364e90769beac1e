#include "place/kind_quarantine.h"

#include <algorithm>
#include <chrono>

namespace teaselward
{

namespace
{

using std::chrono::milliseconds;

// Eight jobs of eight tasks. If one job in ten is deadly, half of such runs end with a crash, so the number doubles each time.
constexpr std::uint32_t MinSuccesses = 64;
constexpr std::uint32_t MaxSuccesses = 512;

constexpr milliseconds MinQuietTime{2000}; // All isolated endpoints may be away for this long after a crash.
constexpr milliseconds MaxQuietTime{15000}; // Releases a kind that this entry receives no jobs of.
constexpr milliseconds RelapseTime{30000}; // A kind that is quarantined again within this time needs more successes.

} // namespace

std::vector<std::string> kind_quarantine::recordCrash(const std::vector<crash_suspect> &suspects, mono_time now)
{
    bool isExplained = false;
    for (const crash_suspect &suspect : suspects) {
        if (contains(suspect.kind)) {
            state &kind = m_kinds.find(suspect.kind)->second;
            kind.lastCrash = now;
            kind.successes = 0;
            isExplained = true;
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

void kind_quarantine::quarantine(state &kind, mono_time now)
{
    const bool isRelapse = kind.required > 0 && now - kind.releasedAt < RelapseTime;
    kind.required = isRelapse ? std::min(kind.required * 2, MaxSuccesses) : MinSuccesses;
    kind.isQuarantined = true;
    kind.lastCrash = now;
    kind.successes = 0;
    ++m_quarantined;
}

bool kind_quarantine::recordSuccess(std::string_view kind, mono_time now)
{
    if (isEmpty()) {
        return false;
    }
    const auto found = m_kinds.find(kind);
    if (found == m_kinds.end() || !found->second.isQuarantined) {
        return false;
    }
    if (++found->second.successes < found->second.required || now - found->second.lastCrash < MinQuietTime) {
        return false;
    }
    release(found->second, now);
    return true;
}

bool kind_quarantine::expire(mono_time now)
{
    if (isEmpty()) {
        return false;
    }
    bool any = false;
    for (auto &[name, kind] : m_kinds) {
        if (kind.isQuarantined && now - kind.lastCrash >= MaxQuietTime) {
            release(kind, now);
            any = true;
        }
    }
    return any;
}

void kind_quarantine::release(state &kind, mono_time now)
{
    kind.isQuarantined = false;
    kind.releasedAt = now;
    --m_quarantined;
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
