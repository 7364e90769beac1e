#pragma once

#include "base/bounded_ring.h"
#include "config/config_copy.h"
#include "config/peer_config_source.h"
#include "config/route_source.h"
#include "core/shared_routes.h"
#include "job/entry_event.h"
#include "log/logger.h"

#include <memory>
#include <optional>

namespace teaselward
{

namespace detail
{
class route_follower_private;
}

/** Thread that follows the routes in a store and activates each newer version at this entry, but never an older one. */
class route_follower
{
public:
    /**
     * Starts the thread.
     * @param source client of the store, used by this thread only; it must outlive the follower
     * @param routes receives the routes for the listeners; it must outlive the follower
     * @param events ring of the decision thread, which receives rules_applied
     * @param peers queried while the store cannot be read; it must outlive the follower
     * @param log logger; it must outlive the follower
     */
    route_follower(route_source &source, shared_routes &routes, bounded_ring<entry_event> &events, peer_config_source &peers, logger &log);
    ~route_follower();

    route_follower(const route_follower &) = delete;
    route_follower &operator=(const route_follower &) = delete;

    /** @return the active routes for a peer, or nothing before the first version; thread-safe */
    std::optional<config_copy> snapshot() const;

    /** Stops the thread after the current call and joins it. */
    void stop();

private:
    std::unique_ptr<detail::route_follower_private> d;
};

} // namespace teaselward
