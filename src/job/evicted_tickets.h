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
 * Used tickets whose answers were dropped early to make room. They are remembered until they expire, so that a resubmission
 * starts nothing; tickets are used about in the order of their sequence, so one bit each is enough.
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
     * @param sequence its sequence
     * @param now present time; the ticket was issued before
     */
    void add(std::uint64_t sequence, mono_time now);

    /**
     * Tells whether a ticket was added and may not have expired yet.
     * @param sequence its sequence
     */
    bool contains(std::uint64_t sequence) const;

    /**
     * Forgets tickets that have expired.
     * @param now present time
     */
    void expire(mono_time now);

private:
    static constexpr std::size_t BlockSize = 1024;

    std::chrono::milliseconds m_lifetime;
    absl::flat_hash_map<std::uint64_t, std::bitset<BlockSize>> m_blocks;
    timer_queue<std::uint64_t> m_expiries; ///< Blocks.
    absl::flat_hash_map<std::uint64_t, mono_time> m_due; ///< Instant until which each block is needed.
};

} // namespace teaselward
