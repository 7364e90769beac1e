#pragma once

#include "rpc/config_snapshot.h"

#include <cstdint>

namespace teaselward
{

/**
 * Copy of the configuration that a process shares with its peers. The adapter's thread calls it, so implementations are
 * thread-safe and return quickly.
 */
class snapshot_source
{
public:
    virtual ~snapshot_source() = default;

    /** @return offset in the platform log up to which the copy is complete; zero if there is no copy */
    virtual std::uint64_t offset() const = 0;

    /** @return the copy */
    virtual config_snapshot copy() const = 0;

    /**
     * Checks whether a copy of a peer is newer than the known ones and so is to be fetched.
     * @param offset offset in the platform log up to which the peer's copy is complete
     */
    virtual bool isNewer(std::uint64_t offset) const = 0;

    /**
     * Receives the copy of a peer.
     * @param snapshot the copy; it is ignored unless its offset is higher than that of the known ones
     */
    virtual void receive(config_snapshot snapshot) = 0;
};

} // namespace teaselward
