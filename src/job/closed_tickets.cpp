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
    closed_ticket_block &chunk = m_blocks[sequence / closed_ticket_block::Size];
    chunk.closed.set(sequence % closed_ticket_block::Size);
    chunk.changedAt = now;
}

bool closed_tickets::isClosed(std::uint64_t sequence) const
{
    const auto found = m_blocks.find(sequence / closed_ticket_block::Size);
    return found != m_blocks.end() && found->second.closed.test(sequence % closed_ticket_block::Size);
}

// Removes the blocks in which every ticket has expired. The scan runs once per ticket lifetime, so that closing a ticket stays cheap.
void closed_tickets::expire(mono_time now)
{
    if (now < m_nextExpiry) {
        return;
    }
    m_nextExpiry = now + m_lifetime;
    absl::erase_if(m_blocks, [this, now](const auto &item) {
        return item.second.changedAt + m_lifetime < now;
    });
}

} // namespace teaselward
