#pragma once

#include "rpc/config_snapshot.h"

#include <cstdint>

namespace teaselward
{

/**
 * Copy of the configuration that a process shares with its peers. The thread of the adapter calls it, so implementations
 * lock their state and return quickly.
 */
class snapshot_source
{
public:
    virtual ~snapshot_source() = default;

    /** @return log offset that the copy covers; zero if there is none */
    virtual std::uint64_t offset() const = 0;

    /** @return the copy */
    virtual config_snapshot copy() const = 0;

    /**
     * Tells whether a copy of a peer is worth fetching.
     * @param offset log offset that the peer's copy covers
     */
    virtual bool wants(std::uint64_t offset) const = 0;

    /**
     * Receives the copy of a peer.
     * @param snapshot the copy; a process never goes back to a lower offset
     */
    virtual void receive(config_snapshot snapshot) = 0;
};

} // namespace teaselward
