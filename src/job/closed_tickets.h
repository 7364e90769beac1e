#pragma once

#include "base/clock.h"
#include "job/closed_ticket_block.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>

namespace teaselward
{

/**
 * Tickets of this incarnation whose submission was refused as not run. Such a ticket never starts a job: a second copy of the
 * submission may still be on its way, and the caller may have ordered again under a new ticket. One bit is kept for each
 * ticket, since a flood is refused at a high rate.
 */
class closed_tickets
{
public:
    /**
     * Creates an empty set.
     * @param lifetime lifetime of a ticket; an expired one needs no bit
     */
    explicit closed_tickets(std::chrono::milliseconds lifetime);

    /**
     * Closes a ticket.
     * @param sequence its sequence number
     * @param now present time
     */
    void close(std::uint64_t sequence, mono_time now);

    /**
     * Tells whether a ticket is closed.
     * @param sequence its sequence number
     */
    bool isClosed(std::uint64_t sequence) const;

private:
    void expire(mono_time now);

    std::chrono::milliseconds m_lifetime;
    mono_time m_nextExpiry{};
    absl::flat_hash_map<std::uint64_t, closed_ticket_block> m_blocks;
};

} // namespace teaselward
