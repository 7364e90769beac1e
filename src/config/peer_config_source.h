#pragma once

#include "config/config_copy.h"

#include <cstdint>
#include <optional>

namespace teaselward
{

/** Gets the configuration from other processes, for a process that cannot read it from the platform log. */
class peer_config_source
{
public:
    virtual ~peer_config_source() = default;

    /**
     * Queries the peers. May block for a bounded time; only the thread that follows the configuration calls it.
     * @param above offset that this process has; only copies above it are useful
     * @return the copy with the highest offset, or nothing if no peer is known to have a copy above the given offset
     */
    virtual std::optional<config_copy> newest(std::uint64_t above) = 0;
};

} // namespace teaselward
