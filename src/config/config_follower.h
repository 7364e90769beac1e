#pragma once

#include "base/bounded_ring.h"
#include "config/config_copy.h"
#include "config/config_follower_settings.h"
#include "config/peer_config_source.h"
#include "config/wall_clock.h"
#include "job/entry_event.h"
#include "log/logger.h"
#include "platform/platform_log.h"

#include <memory>
#include <optional>

namespace teaselward
{

namespace detail
{
class config_follower_private;
}

/** Thread that follows the configuration on the platform log and activates each accepted version at this entry. */
class config_follower
{
public:
    /**
     * Starts the thread.
     * @param settings settings of the thread
     * @param platform client of the platform log, used by this thread only; it must outlive the follower
     * @param events ring of the decision thread, which receives rules_applied
     * @param log logger; it must outlive the follower
     * @param peers queried by this thread while the configuration cannot be read from the log; may be null, and must outlive the follower
     * @param clock wall clock for rules in local time; null for the system clock; it must outlive the follower
     */
    config_follower(const config_follower_settings &settings,
                    platform_log &platform,
                    bounded_ring<entry_event> &events,
                    logger &log,
                    peer_config_source *peers = nullptr,
                    const wall_clock *clock = nullptr);
    ~config_follower();

    config_follower(const config_follower &) = delete;
    config_follower &operator=(const config_follower &) = delete;

    /**
     * Returns the configuration for a peer that starts while the log is down. Thread-safe.
     * @return the copy, or nothing if this process has none yet
     */
    std::optional<config_copy> snapshot() const;

    /** Stops the thread after the current read and joins it. */
    void stop();

private:
    std::unique_ptr<detail::config_follower_private> d;
};

} // namespace teaselward
