#include "job/evicted_tickets.h"

namespace teaselward
{

evicted_tickets::evicted_tickets(std::chrono::milliseconds lifetime)
    : m_lifetime(lifetime)
{
}

void evicted_tickets::add(std::uint64_t sequence, mono_time now)
{
    const std::uint64_t block = sequence / BlockSize;
    const auto [keptUntil, isNew] = m_keptUntil.insert_or_assign(block, now + m_lifetime);
    if (isNew) {
        m_expiries.schedule(keptUntil->second, block);
    }
    m_blocks[block].set(sequence % BlockSize);
}

bool evicted_tickets::contains(std::uint64_t sequence) const
{
    const auto found = m_blocks.find(sequence / BlockSize);
    return found != m_blocks.end() && found->second.test(sequence % BlockSize);
}

// A block that received more tickets after its expiry was scheduled is rescheduled for the later time.
void evicted_tickets::expire(mono_time now)
{
    while (const auto block = m_expiries.takeDue(now)) {
        const auto keptUntil = m_keptUntil.find(*block);
        if (keptUntil->second > now) {
            m_expiries.schedule(keptUntil->second, *block);
        } else {
            m_blocks.erase(*block);
            m_keptUntil.erase(keptUntil);
        }
    }
}

} // namespace teaselward
