#pragma once

#include "config/config_copy.h"

#include <optional>

namespace teaselward
{

/** Source of the configuration that other processes hold, for a process that cannot read it from the platform log. */
class peer_copy
{
public:
    virtual ~peer_copy() = default;

    /**
     * Asks the peers. It may block for a bounded time; the thread of the config_follower calls it.
     * @return the copy with the highest offset, or nothing if no peer has one
     */
    virtual std::optional<config_copy> newest() = 0;
};

} // namespace teaselward
