#include "config/snapshot_schedule.h"

#include <algorithm>

namespace teaselward
{

namespace
{

using namespace std::chrono_literals;

// Fractions of the retention after which a snapshot is due, with the maximum random delays that are added.
constexpr int FreshDivisor = 2;
constexpr int FreshJitterDivisor = 8;
constexpr int UnknownAgeDivisor = 16; // Early, since a record of unknown age may be about to be dropped.
constexpr int UnknownAgeJitterDivisor = 16;
constexpr int ExpiringJitterDivisor = 64;
constexpr std::chrono::milliseconds ExpiringJitterLimit = 5s;
constexpr std::uint64_t ExpiringDivisor = 4; // A record in the oldest quarter of the retained offsets is about to be dropped.

} // namespace

snapshot_schedule::snapshot_schedule(std::chrono::milliseconds retention, std::uint64_t seed)
    : m_retention(retention)
    , m_random(seed)
{
}

std::chrono::milliseconds snapshot_schedule::randomDelay(std::chrono::milliseconds limit)
{
    return std::chrono::milliseconds(std::uniform_int_distribution<std::chrono::milliseconds::rep>(0, limit.count())(m_random));
}

void snapshot_schedule::setOldestNeeded(std::uint64_t offset, bool isFresh, mono_time now)
{
    if (m_isSet && offset == m_oldestNeeded) {
        return;
    }
    m_isSet = true;
    m_isExpiring = false;
    m_oldestNeeded = offset;
    m_due = now + m_retention / (isFresh ? FreshDivisor : UnknownAgeDivisor);
    m_due += randomDelay(m_retention / (isFresh ? FreshJitterDivisor : UnknownAgeJitterDivisor));
}

// The first offset seen may be the beginning of the stream; only an increase shows that the log drops records.
void snapshot_schedule::setRetained(std::uint64_t first, std::uint64_t next, mono_time now)
{
    const bool hasMoved = m_firstRetained != 0 && first > m_firstRetained;
    m_firstRetained = first;
    const bool isExpiring = m_oldestNeeded < first || m_oldestNeeded - first < (next - first) / ExpiringDivisor;
    if (m_isSet && hasMoved && isExpiring && !m_isExpiring) {
        m_isExpiring = true;
        m_due = std::min(m_due, now + randomDelay(std::min(m_retention / ExpiringJitterDivisor, ExpiringJitterLimit)));
    }
}

void snapshot_schedule::postpone(std::chrono::milliseconds delay, mono_time now)
{
    m_due = now + delay;
    m_isExpiring = false;
}

bool snapshot_schedule::isDue(mono_time now) const
{
    return m_isSet && now >= m_due;
}

} // namespace teaselward
