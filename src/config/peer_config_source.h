#pragma once

#include "config/config_copy.h"

#include <cstdint>
#include <optional>

namespace teaselward
{

/** Source of the configuration that other processes hold, for a process that cannot read it from the platform log. */
class peer_config_source
{
public:
    virtual ~peer_config_source() = default;

    /**
     * Asks the peers. It may block for a bounded time; the thread of the config_follower calls it.
     * @param above offset that this process has; only a copy above it is of use
     * @return the copy with the highest offset, or nothing if no peer is known to have one above
     */
    virtual std::optional<config_copy> newest(std::uint64_t above) = 0;
};

} // namespace teaselward
