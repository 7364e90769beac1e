#pragma once

#include "base/clock.h"
#include "job/closed_ticket_block.h"

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstdint>

namespace teaselward
{

/**
 * Tickets of this incarnation whose submission was refused as not run. Such a ticket must never start a job: a delayed copy of
 * the submission may still arrive after the caller has submitted the job again under a new ticket. Each ticket takes a single
 * bit, since an overload can cause refusals at a high rate.
 */
class closed_tickets
{
public:
    /**
     * Creates an empty set.
     * @param lifetime lifetime of a ticket; expired tickets are removed
     */
    explicit closed_tickets(std::chrono::milliseconds lifetime);

    /**
     * Closes a ticket, so that it can no longer start a job.
     * @param sequence sequence number of the ticket
     * @param now current time
     */
    void close(std::uint64_t sequence, mono_time now);

    /**
     * Returns whether a ticket is closed.
     * @param sequence sequence number of the ticket
     */
    bool isClosed(std::uint64_t sequence) const;

private:
    void expire(mono_time now);

    std::chrono::milliseconds m_lifetime;
    mono_time m_nextExpiry{};
    absl::flat_hash_map<std::uint64_t, closed_ticket_block> m_blocks;
};

} // namespace teaselward
