#include "config/route_follower.h"

#include "base/duty_thread.h"
#include "base/stop_signal.h"
#include "config/evacuation_feed.h"
#include "config/route_rules.h"
#include "core/concat.h"

#include <absl/synchronization/mutex.h>

#include <chrono>
#include <optional>
#include <string>
#include <utility>

namespace teaselward
{

namespace
{

// Longest wait of one read. A dead connection is noticed after this time, well within the 2 s in which a change must be active.
constexpr std::chrono::milliseconds ReadWait{700};

// Delay before a failed read is retried. A version must be active 2 s after its acceptance, and the store may recover at any time.
constexpr std::chrono::milliseconds RetryDelay{250};

// Each attempt to store a copy may delay the next read, so there are few of them for one version.
constexpr int MaxCopyAttempts = 3;

} // namespace

namespace detail
{

class route_follower_private
{
public:
    route_follower_private(
        route_source &store, shared_routes &sharedRoutes, bounded_ring<entry_event> &decisionEvents, peer_config_source &peerSource, logger &output)
        : source(store)
        , routes(sharedRoutes)
        , events(decisionEvents)
        , peers(peerSource)
        , log(output)
        , evacuations(store, decisionEvents, output)
    {
    }

    // Main function of the thread.
    void run()
    {
        std::optional<std::uint64_t> next;
        while (!stopping.isNotified()) {
            if (readOnce(next)) {
                evacuations.storeCopy();
                storeCopy();
            } else {
                next.reset();
                adoptFromPeer();
                adoptStoredCopy();
                stopping.waitFor(RetryDelay);
            }
        }
    }

    // Reads the newest version first, then waits for later ones. Returns false after an error.
    bool readOnce(std::optional<std::uint64_t> &next)
    {
        route_config found;
        std::uint64_t position = next.value_or(0);
        const std::error_code error = next ? source.wait(position, ReadWait, found, evacuations.state()) : source.newest(found, evacuations.state(), position);
        if (error) {
            reportOutage(error);
            return false;
        }
        if (isStoreDown) {
            isStoreDown = false;
            log.write(log_part::config, "The store answers again.");
        }
        next = position;
        evacuations.publish(); // Before the routes, so that a process which starts places nothing in an evacuated failure domain.
        if (found.version > storeVersion) {
            storeVersion = found.version;
            copyAttempts = 0;
        }
        if (found.version > 0) {
            apply(std::move(found), "store");
        }
        return true;
    }

    void reportOutage(const std::error_code &error)
    {
        if (!isStoreDown) {
            isStoreDown = true;
            log.write(log_part::config, concat("The store does not answer; the active routes stay in use. version=", version, " error=", error.message()));
        }
    }

    void adoptFromPeer()
    {
        const auto copy = peers.newest(version);
        if (!copy) {
            return;
        }
        route_config found;
        if (const std::error_code error = source.decode(copy->text, found)) {
            log.write(log_part::config, concat("Ignored invalid routes from a peer. error=", error.message()));
        } else {
            apply(std::move(found), "peer");
        }
    }

    // Stores a copy of a version that was read from the store, so that a process which starts in an outage finds it.
    void storeCopy()
    {
        if (storeVersion <= copiedVersion || copyAttempts >= MaxCopyAttempts) {
            return;
        }
        ++copyAttempts;
        const auto current = [this] {
            const absl::MutexLock lock(&mutex);
            return copy;
        }();
        if (const std::error_code error = source.storeCopy(current->text)) {
            log.write(log_part::config, concat("Cannot store a copy of the routes. version=", current->offset, " error=", error.message()));
        } else {
            copiedVersion = current->offset;
        }
    }

    // A copy may be outdated, so it is used only while this process knows no version at all.
    void adoptStoredCopy()
    {
        if (version > 0) {
            return;
        }
        route_config found;
        evacuation_state copied;
        const std::error_code error = source.newestCopy(found, copied);
        evacuations.adoptCopy(copied);
        if (error) {
            log.write(log_part::config, concat("Cannot read a copy of the routes. error=", error.message()));
        } else if (found.version > 0) {
            apply(std::move(found), "copy");
        }
    }

    void apply(route_config found, std::string_view origin)
    {
        if (found.version <= version) {
            return;
        }
        version = found.version;
        if (log.isEnabled()) {
            log.write(log_part::config, concat("Applied routes. version=", version, " routes=", found.routes.size(), " from=", origin));
        }
        auto rules = std::make_shared<const rule_set>(routeRules(found));
        {
            const absl::MutexLock lock(&mutex);
            copy = config_copy{found.version, found.text};
        }
        found.text.clear();
        // The decision thread receives the rules of a kind before a listener can submit a job of that kind.
        events.push(rules_applied{std::move(rules)});
        routes.set(std::make_shared<const route_table>(std::move(found)));
    }

    route_source &source;
    shared_routes &routes;
    bounded_ring<entry_event> &events;
    peer_config_source &peers;
    logger &log;
    evacuation_feed evacuations;
    std::uint64_t version = 0;
    std::uint64_t storeVersion = 0; ///< Newest version that was read from the store.
    std::uint64_t copiedVersion = 0; ///< Newest version of which a copy was stored.
    int copyAttempts = 0; ///< Attempts to store a copy of storeVersion.
    bool isStoreDown = false;
    mutable absl::Mutex mutex;
    std::optional<config_copy> copy ABSL_GUARDED_BY(mutex);
    stop_signal stopping;
    std::optional<duty_thread> thread;
};

} // namespace detail

route_follower::route_follower(route_source &source, shared_routes &routes, bounded_ring<entry_event> &events, peer_config_source &peers, logger &log)
    : d(std::make_unique<detail::route_follower_private>(source, routes, events, peers, log))
{
    d->thread.emplace("routes", [this] {
        d->run();
    });
}

route_follower::~route_follower()
{
    stop();
}

std::optional<config_copy> route_follower::snapshot() const
{
    const absl::MutexLock lock(&d->mutex);
    return d->copy;
}

void route_follower::stop()
{
    if (d->thread) {
        d->stopping.notify();
        d->thread.reset();
    }
}

} // namespace teaselward
