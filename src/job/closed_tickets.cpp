#include "job/closed_tickets.h"

namespace teaselward
{

closed_tickets::closed_tickets(std::chrono::milliseconds lifetime)
    : m_lifetime(lifetime)
{
}

void closed_tickets::close(std::uint64_t sequence, mono_time now)
{
    expire(now);
    closed_chunk &chunk = m_chunks[sequence / closed_chunk::Size];
    chunk.closed.set(sequence % closed_chunk::Size);
    chunk.changedAt = now;
}

bool closed_tickets::isClosed(std::uint64_t sequence) const
{
    const auto found = m_chunks.find(sequence / closed_chunk::Size);
    return found != m_chunks.end() && found->second.closed.test(sequence % closed_chunk::Size);
}

// Drops the ranges in which every closed ticket has expired. It looks at them once in a lifetime, so that closing stays cheap.
void closed_tickets::expire(mono_time now)
{
    if (now < m_nextExpiry) {
        return;
    }
    m_nextExpiry = now + m_lifetime;
    absl::erase_if(m_chunks, [this, now](const auto &item) {
        return item.second.changedAt + m_lifetime < now;
    });
}

} // namespace teaselward
