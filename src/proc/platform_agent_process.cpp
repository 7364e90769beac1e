#include "proc/platform_agent_process.h"

#include "agent/run/endpoint_watch.h"
#include "base/bounded_ring.h"
#include "base/clock.h"
#include "base/duty_thread.h"
#include "core/concat.h"
#include "http/http_listener.h"
#include "metrics/run_metrics.h"
#include "platform/heartbeat_api.h"
#include "platform/worker_client.h"
#include "proc/agent_process.h"
#include "proc/incarnation.h"
#include "proc/watch_event.h"

#include <absl/synchronization/notification.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <utility>

namespace teaselward
{

namespace
{

// Limits of the listener for heartbeats, to which a worker opens a new connection for each heartbeat.
constexpr std::uint32_t HeartbeatConnections = 64;
constexpr std::size_t HeartbeatBytes = std::size_t{64} * 1024;

// A draining worker finishes its runs within seconds; the bound only keeps the agent from waiting forever.
constexpr std::chrono::milliseconds DrainBound = std::chrono::minutes(5);

// The agent retains results of the platform's runs only to answer repeated starts, which arrive within the lease of a session.
constexpr std::chrono::milliseconds Retention = std::chrono::seconds(30);

// Milliseconds since 1970, used as the first fencing token: it exceeds the tokens of earlier agents unless the clock was set back.
std::uint64_t initialFencingToken()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace

namespace detail
{

class platform_agent_process_private
{
public:
    platform_agent_process_private(const agent_settings &given, logger &decisionLog)
        : settings(given)
        , log(decisionLog)
        , watch(given.platformService)
        , heartbeats(
              [this](endpoint_announcement announcement) {
                  announcement.receivedAt = mono_clock::now();
                  events.tryPush(std::move(announcement));
              },
              [this](std::string id) {
                  events.tryPush(endpoint_withdrawn{std::move(id)});
              },
              [this] {
                  return metrics.text();
              },
              decisionLog)
    {
        http_listener_settings listenerSettings{
            settings.platformControl, HeartbeatBytes, HeartbeatBytes * HeartbeatConnections, HeartbeatConnections, std::chrono::minutes(1)};
        thread.emplace("watch", [this] {
            run();
        });
        try {
            listener.emplace(listenerSettings, heartbeats, log);
        } catch (...) {
            events.close();
            throw;
        }
    }

    ~platform_agent_process_private()
    {
        listener.reset();
        events.close();
        thread.reset();
    }

    using handler = void (platform_agent_process_private::*)(watch_event &event);

    // Loop of the watch thread, which decides which endpoint instance is served.
    void run()
    {
        using self = platform_agent_process_private;
        // Indexed by the alternative of watch_event.
        static constexpr std::array<handler, std::variant_size_v<watch_event>> handlers
            = {&self::onAnnounced, &self::onWithdrawn, &self::onReady, &self::onLost, &self::onStop};
        while (auto event = events.pop()) {
            (this->*handlers.at(event->index()))(*event);
        }
        agent.reset();
        client.reset();
    }

    void onAnnounced(watch_event &event)
    {
        const auto &announcement = std::get<endpoint_announcement>(event);
        const task_resources formerCapacity = watch.current() ? watch.current()->capacity : task_resources{};
        const announcement_effect effect = watch.applyHeartbeat(announcement);
        switch (effect) {
        case announcement_effect::adopt:
            if (!isStopping) {
                adopt(announcement);
            }
            break;
        case announcement_effect::drain:
            log.write(log_part::member, concat("The endpoint is draining. worker=", announcement.id));
            if (agent && !announcement.remaining) {
                agent->requestStop(DrainBound);
            }
            break;
        case announcement_effect::resize:
            resize(announcement, formerCapacity);
            break;
        case announcement_effect::retime:
        case announcement_effect::unchanged:
            break;
        }
        if (effect != announcement_effect::unchanged && effect != announcement_effect::adopt && agent) {
            agent->announceWarmUp(announcement.receivedAt + announcement.coldRemaining);
            announceStop();
        }
    }

    // Passes the announced stop of a draining endpoint on. The agent starts to drain by itself.
    void announceStop()
    {
        const endpoint_announcement &current = *watch.current();
        if (current.remaining) {
            agent->announceStop(current.receivedAt + *current.remaining);
        }
    }

    // An agent that is created later takes the capacity from the newest heartbeat.
    void resize(const endpoint_announcement &announcement, const task_resources &former)
    {
        const task_resources &capacity = announcement.capacity;
        log.write(log_part::member,
                  concat("The capacity of the endpoint has changed. worker=",
                         announcement.id,
                         " cpu_millis=",
                         capacity.cpuMillis,
                         " memory_mb=",
                         capacity.memoryMb,
                         " gpus=",
                         capacity.gpus,
                         " former_cpu_millis=",
                         former.cpuMillis,
                         " former_memory_mb=",
                         former.memoryMb,
                         " former_gpus=",
                         former.gpus));
        if (agent) {
            agent->changeCapacity(capacity);
        }
    }

    void adopt(const endpoint_announcement &announcement)
    {
        endInstance();
        ++instance;
        if (announcement.id != firstHeartbeatId || announcement.endpointStart != firstHeartbeatStart) {
            firstHeartbeatId = announcement.id;
            firstHeartbeatStart = announcement.endpointStart;
            firstHeartbeatAt = announcement.receivedAt;
        }
        metrics.countEndpointInstance();
        log.write(log_part::member,
                  concat("Adopting an endpoint. worker=",
                         announcement.id,
                         " born=",
                         announcement.endpointStart.count(),
                         " cpu_millis=",
                         announcement.capacity.cpuMillis,
                         " memory_mb=",
                         announcement.capacity.memoryMb,
                         " cold_remaining_ms=",
                         announcement.coldRemaining.count()));
        worker_client_settings clientSettings;
        clientSettings.address = announcement.address;
        clientSettings.id = announcement.id;
        clientSettings.supervisor.fencingToken = initialFencingToken();
        clientSettings.supervisor.endpointStart = announcement.endpointStart;
        clientSettings.supervisor.homeLease = settings.lease;
        client = std::make_unique<worker_client>(
            clientSettings,
            [this, number = instance](std::uint64_t token) {
                events.push(endpoint_ready{number, token});
            },
            [this, number = instance] {
                events.push(endpoint_lost{number});
            },
            metrics,
            log);
    }

    void onReady(watch_event &event)
    {
        if (std::get<endpoint_ready>(event).instance != instance || !client || isStopping) {
            return;
        }
        watch.markConfirmed();
        const endpoint_announcement &current = *watch.current();
        log.write(log_part::member, concat("Serving an endpoint. worker=", current.id, " service=", current.service));
        agent_core_settings core;
        core.self.id = agent_id{makeIncarnation()};
        core.self.address = current.address;
        core.self.failureDomain = settings.failureDomain;
        core.self.slots = std::max(1U, current.slots);
        core.self.connections = settings.connections;
        core.self.kinds = {current.service};
        core.self.endpointStart = current.endpointStart;
        core.self.machineType = current.machineType;
        core.self.fencingToken = std::get<endpoint_ready>(event).fencingToken;
        core.retention = Retention;
        core.capacity = current.capacity;
        core.startWindow = settings.startWindow;
        core.exactSlots = settings.exactSlots;
        core.sessionLease = settings.lease;
        core.coldSince = firstHeartbeatAt;
        core.warmAt = current.receivedAt + current.coldRemaining;
        core.watchInterference = settings.watchInterference;
        agent = std::make_unique<agent_process>(
            settings,
            core,
            [this](bounded_ring<agent_event> &ring) {
                client->connect(ring);
                return std::move(client);
            },
            log,
            [this](double factor) {
                metrics.setRunTimeFactor(factor);
            });
        if (current.isDraining && !current.remaining) {
            agent->requestStop(DrainBound);
        }
        announceStop();
    }

    void onLost(watch_event &event)
    {
        if (std::get<endpoint_lost>(event).instance == instance) {
            watch.markLost();
            endInstance();
        }
    }

    void onWithdrawn(watch_event &event)
    {
        const std::string &id = std::get<endpoint_withdrawn>(event).id;
        if (watch.applyStop(id)) {
            log.write(log_part::member, concat("The endpoint has left. worker=", id));
            endInstance();
        }
    }

    // The outcomes of the last runs are in the agent's event ring already, so the agent reports them before it stops.
    void endInstance()
    {
        if (agent) {
            agent->requestStop(std::chrono::milliseconds::zero());
            agent->waitForStop();
            agent.reset();
            metrics.setRunTimeFactor(0);
        }
        client.reset();
    }

    void onStop(watch_event & /*event*/)
    {
        isStopping = true;
        if (agent) {
            agent->requestStop(settings.drainBound);
            agent->waitForStop();
        }
        if (!stopped.HasBeenNotified()) {
            stopped.Notify();
        }
    }

    static constexpr std::size_t EventCapacity = 64;

    const agent_settings settings;
    logger &log;
    bounded_ring<watch_event> events{EventCapacity};
    endpoint_watch watch;
    run_metrics metrics;
    heartbeat_api heartbeats;
    std::optional<http_listener> listener;
    std::unique_ptr<worker_client> client; ///< Until its worker is ready; then the agent owns it.
    std::unique_ptr<agent_process> agent;
    std::uint64_t instance = 0;
    // The instance that was adopted last. If it is adopted again after a loss of contact, its warm-up goes on.
    std::string firstHeartbeatId;
    std::chrono::milliseconds firstHeartbeatStart{};
    mono_time firstHeartbeatAt{};
    bool isStopping = false;
    absl::Notification stopped;
    std::optional<duty_thread> thread;
};

} // namespace detail

platform_agent_process::platform_agent_process(const agent_settings &settings, logger &log)
    : d(std::make_unique<detail::platform_agent_process_private>(settings, log))
{
}

platform_agent_process::~platform_agent_process() = default;

void platform_agent_process::requestStop()
{
    d->events.push(watch_stop_requested{});
}

void platform_agent_process::waitForStop()
{
    d->stopped.WaitForNotification();
}

} // namespace teaselward
