#pragma once

#include "rpc/config_snapshot.h"

#include <cstdint>

namespace teaselward
{

/**
 * Provides the copy of the configuration that a process offers to its peers, and takes in theirs, so that a process gets a
 * configuration while the platform log is unavailable. The RPC thread calls it, so implementations are thread-safe and return
 * quickly.
 */
class snapshot_source
{
public:
    virtual ~snapshot_source() = default;

    /** @return offset in the platform log up to which the copy is complete; zero if there is no copy */
    virtual std::uint64_t offset() const = 0;

    /** @return copy to send to a peer that fetches the configuration */
    virtual config_snapshot copy() const = 0;

    /**
     * Checks whether the copy of a peer should be fetched because it is newer than every copy this process holds.
     * @param offset offset in the platform log up to which the peer's copy is complete
     */
    virtual bool isNewer(std::uint64_t offset) const = 0;

    /**
     * Stores the copy fetched from a peer.
     * @param snapshot the copy; ignored unless its offset is higher than that of every copy this process holds
     */
    virtual void receive(config_snapshot snapshot) = 0;
};

} // namespace teaselward
