#pragma once

#include "base/clock.h"
#include "job/timer_queue.h"

#include <absl/container/flat_hash_map.h>

#include <bitset>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace teaselward
{

/**
 * Used tickets whose answers were evicted early to free memory. They are kept until they expire, so that a resubmission does
 * not run the job again. Tickets are used roughly in sequence order, so a bit set per block of sequence numbers is compact.
 */
class evicted_tickets
{
public:
    /**
     * Creates an empty set.
     * @param lifetime lifetime of a ticket
     */
    explicit evicted_tickets(std::chrono::milliseconds lifetime);

    /**
     * Adds a ticket.
     * @param sequence sequence number of the ticket
     * @param now current time, which is after the ticket was issued
     */
    void add(std::uint64_t sequence, mono_time now);

    /**
     * Returns whether a ticket was added and may not have expired yet.
     * @param sequence sequence number of the ticket
     */
    bool contains(std::uint64_t sequence) const;

    /**
     * Removes expired tickets.
     * @param now current time
     */
    void expire(mono_time now);

private:
    static constexpr std::size_t BlockSize = 1024;

    std::chrono::milliseconds m_lifetime;
    absl::flat_hash_map<std::uint64_t, std::bitset<BlockSize>> m_blocks;
    timer_queue<std::uint64_t> m_expiries; ///< Indexes of the blocks.
    absl::flat_hash_map<std::uint64_t, mono_time> m_keptUntil; ///< By block index.
};

} // namespace teaselward
