#include "proc/entry_process.h"

#include "base/bounded_ring.h"
#include "base/duty_thread.h"
#include "base/one_shot_timer.h"
#include "base/stop_signal.h"
#include "config/config_follower.h"
#include "config/route_follower.h"
#include "core/shared_routes.h"
#include "http/front_end.h"
#include "job/entry_core.h"
#include "platform/platform_front_end.h"
#include "platform/platform_route_source.h"
#include "proc/action_routes.h"
#include "proc/decision_loop.h"
#include "proc/entry_component_settings.h"
#include "proc/shared_config.h"
#include "rpc/entry_rpc.h"

#include <absl/synchronization/notification.h>

#include <atomic>
#include <optional>
#include <type_traits>
#include <utility>

namespace teaselward
{

namespace detail
{

class entry_process_private
{
public:
    using loop = decision_loop<entry_core, entry_event, entry_action>;

    entry_process_private(const entry_settings &given, const entry_info &self, http_platform_log &platform, logger &log)
        : entry_process_private(given, self, log)
    {
        if (given.platformStore.empty()) {
            followConfig(platform, log);
            return;
        }
        routeSource.emplace(platform, self.id.value, log);
        routeFollower.emplace(*routeSource, routes, events, sharedConfig, log);
        sharedConfig.setLocalCopy([this] {
            return routeFollower->snapshot();
        });
        platformFrontEnd.emplace(
            platformFrontEndSettings(given),
            routes,
            events,
            [this] {
                return !stopRequested && routes.get() != nullptr;
            },
            log);
    }

    entry_process_private(const entry_settings &given, const entry_info &self, platform_log &platform, logger &log)
        : entry_process_private(given, self, log)
    {
        followConfig(platform, log);
    }

    entry_process_private(const entry_settings &given, const entry_info &self, logger &log)
        : settings(given)
        , core(entryCoreSettings(given, self), mono_clock::now(), log)
        , frontEnd(frontEndSettings(given), events, log)
        , rpc(entryRpcSettings(given, self, sharedConfig), events, log)
    {
    }

    // Without a platform store, the configuration comes from a stream of the platform log.
    void followConfig(platform_log &platform, logger &log)
    {
        follower.emplace(followerSettings(settings), platform, events, log, &sharedConfig);
        sharedConfig.setLocalCopy([this] {
            return follower->snapshot();
        });
    }

    ~entry_process_private()
    {
        drainWaitCancelled.notify();
        drainThread.reset();
        if (platformFrontEnd) {
            platformFrontEnd->stop();
        }
        frontEnd.stop();
        sharedConfig.setLocalCopy(nullptr);
        if (follower) {
            follower->stop();
        }
        if (routeFollower) {
            routeFollower->stop();
        }
        rpc.stop();
        timer.stop();
        events.close();
    }

    // Maps each action to its adapter; the RPC adapter gets all actions that are not named here.
    template<typename Action>
    static constexpr bool (entry_process_private::*route())(entry_action &)
    {
        if constexpr (std::is_same_v<Action, reply_tickets> || std::is_same_v<Action, reply_status>) {
            return &entry_process_private::postToFrontEnd;
        } else if constexpr (std::is_same_v<Action, reply_job>) {
            return &entry_process_private::postToRequester;
        } else if constexpr (std::is_same_v<Action, finish_drain>) {
            return &entry_process_private::notifyStopped;
        } else {
            return &entry_process_private::postToRpc;
        }
    }

    bool postToFrontEnd(entry_action &action)
    {
        frontEnd.post(std::move(action));
        return true;
    }

    bool postToRpc(entry_action &action)
    {
        return rpc.post(std::move(action));
    }

    // Passes an answer to the adapter that its request came through.
    bool postToRequester(entry_action &action)
    {
        auto &reply = std::get<reply_job>(action);
        if (reply.request.origin == request_origin::platformClient) {
            platformFrontEnd->post(std::move(reply));
            return true;
        }
        return reply.request.origin == request_origin::peer ? postToRpc(action) : postToFrontEnd(action);
    }

    bool notifyStopped(entry_action & /*action*/)
    {
        if (!stopSignalled.exchange(true)) {
            stopped.Notify();
        }
        return true;
    }

    static constexpr std::size_t EventCapacity = 8192;

    const entry_settings settings;
    bounded_ring<entry_event> events{EventCapacity};
    absl::Notification stopped;
    std::atomic<bool> stopSignalled{false};
    entry_core core;
    one_shot_timer timer{[this] {
        events.push(timer_fired{});
    }};
    shared_config sharedConfig;
    front_end frontEnd;
    entry_rpc rpc;
    shared_routes routes;
    std::optional<config_follower> follower;
    std::optional<platform_route_source> routeSource;
    std::optional<route_follower> routeFollower;
    std::atomic<bool> stopRequested{false};
    stop_signal drainWaitCancelled;
    std::optional<duty_thread> drainThread;
    duty_thread decision{"decision", [this] {
                             loop(core, events, timer, [this](entry_action &action) {
                                 return action_routes<entry_process_private, entry_action>::deliver(*this, action);
                             }).run();
                         }};
    std::optional<platform_front_end> platformFrontEnd; ///< Set before the first request of a client can arrive.
};

} // namespace detail

entry_process::entry_process(const entry_settings &settings, platform_log &platform, logger &log)
    : d(std::make_unique<detail::entry_process_private>(settings, makeEntryInfo(settings), platform, log))
{
}

entry_process::entry_process(const entry_settings &settings, http_platform_log &platform, logger &log)
    : d(std::make_unique<detail::entry_process_private>(settings, makeEntryInfo(settings), platform, log))
{
}

entry_process::~entry_process() = default;

// The entry accepts jobs for a while before it drains: the load balancer takes seconds to notice that the entry is not ready, and
// clients keep using their connections until then.
void entry_process::requestStop()
{
    if (d->stopRequested.exchange(true)) {
        return;
    }
    if (d->platformFrontEnd) {
        d->platformFrontEnd->beginDrain();
    }
    d->drainThread.emplace("drain", [this] {
        d->drainWaitCancelled.waitFor(d->settings.drainAccept);
        d->events.push(drain_started{d->settings.drainBound});
    });
}

void entry_process::waitForStop()
{
    d->stopped.WaitForNotification();
}

} // namespace teaselward
