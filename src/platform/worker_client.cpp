#include "platform/worker_client.h"

#include "agent/run/call_dispatcher.h"
#include "agent/run/run_supervisor.h"
#include "base/duty_thread.h"
#include "http/http_error.h"
#include "platform/run_codec.h"
#include "platform/worker_command.h"
#include "platform/worker_connections.h"
#include "platform/worker_exchange.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <atomic>
#include <optional>
#include <system_error>
#include <utility>
#include <vector>

namespace teaselward
{

namespace
{

// Maximum sleep of the thread; commands wake it and libcurl shortens the sleep for its own timers.
constexpr std::chrono::milliseconds MaxPollTime{500};

} // namespace

namespace detail
{

class worker_client_private
{
public:
    worker_client_private(const worker_client_settings &clientSettings,
                          std::function<void(std::uint64_t token)> ready,
                          std::function<void()> lost,
                          run_metrics &runMetrics,
                          logger &log)
        : settings(clientSettings)
        , onReady(std::move(ready))
        , onLost(std::move(lost))
        , metrics(runMetrics)
        , commands(settings.ringCapacity)
        , dispatcher(settings.callLimit)
        , supervisor(settings.supervisor, mono_clock::now(), log)
    {
        multi = curl_multi_init();
        if (multi == nullptr) {
            throw std::system_error(http_error::clientFailed);
        }
        commands.setWaker([this] {
            curl_multi_wakeup(multi);
        });
        thread.emplace("worker", [this] {
            run();
        });
    }

    ~worker_client_private()
    {
        dropCalls();
        idle.clear();
        curl_multi_cleanup(multi);
    }

    // Loop of the thread.
    void run()
    {
        while (!commands.isFinished()) {
            takeCommands();
            supervisor.runTimers(mono_clock::now());
            sendCalls();
            int running = 0;
            curl_multi_perform(multi, &running);
            const bool answered = finishCalls();
            if (supervisor.isLost()) {
                dropCalls();
            }
            report();
            if (!answered) {
                const mono_time due = std::min(supervisor.nextDue(), dispatcher.nextDue());
                const auto left = std::chrono::ceil<std::chrono::milliseconds>(due - mono_clock::now());
                const auto sleep = std::clamp(left, std::chrono::milliseconds::zero(), MaxPollTime);
                curl_multi_poll(multi, nullptr, 0, static_cast<int>(sleep.count()), nullptr);
            }
        }
    }

    void takeCommands()
    {
        while (auto command = commands.tryPop()) {
            const mono_time now = mono_clock::now();
            if (const auto *call = std::get_if<call_endpoint>(&*command)) {
                supervisor.start(*call, now);
            } else if (const auto *stop = std::get_if<stop_call>(&*command)) {
                supervisor.stop(stop->id, now, stop->why);
            } else {
                supervisor.confirmHome(std::get<confirm_home>(*command));
            }
        }
    }

    void sendCalls()
    {
        for (run_call &call : dispatcher.collect(supervisor, connections.idleConfirmed(), openingLists(), mono_clock::now())) {
            send(std::move(call));
        }
    }

    // Returns the number of list calls whose answers will confirm connections for starts that wait.
    std::size_t openingLists() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(active, [this](const auto &item) {
            const auto *list = std::get_if<list_runs>(&item.second->call());
            return list != nullptr && list->wait.count() == 0 && !connections.isConfirmed(item.second->connection());
        }));
    }

    void send(run_call &&call)
    {
        std::unique_ptr<worker_exchange> exchange;
        if (idle.empty()) {
            exchange = std::make_unique<worker_exchange>(settings, connections);
        } else {
            exchange = std::move(idle.back());
            idle.pop_back();
        }
        exchange->prepare(std::move(call));
        CURL *handle = exchange->handle();
        curl_multi_add_handle(multi, handle);
        active.emplace(handle, std::move(exchange));
    }

    // Aborts the open calls. libcurl could repeat one on a new connection, to the next instance of the worker.
    void dropCalls()
    {
        for (auto &[handle, exchange] : active) {
            curl_multi_remove_handle(multi, handle);
        }
        active.clear();
        dispatcher.clear();
    }

    // Passes the received responses to the supervisor. Returns whether there were any.
    bool finishCalls()
    {
        bool any = false;
        int left = 0;
        while (const CURLMsg *message = curl_multi_info_read(multi, &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            const CURLcode result = message->data.result;
            CURL *handle = message->easy_handle; // The message is not valid after the handle is removed.
            const auto found = active.find(handle);
            std::unique_ptr<worker_exchange> exchange = std::move(found->second);
            active.erase(found);
            curl_multi_remove_handle(multi, handle);
            connections.release(exchange->connection());
            apply(*exchange, exchange->result(result));
            idle.push_back(std::move(exchange));
            any = true;
        }
        return any;
    }

    void apply(const worker_exchange &exchange, call_result result)
    {
        const mono_time now = mono_clock::now();
        if (result == call_result::unsent) {
            dispatcher.putBack(exchange.call(), now);
            return;
        }
        if (result == call_result::unanswered) {
            metrics.countUnansweredCall();
        }
        if (const auto *start = std::get_if<start_run>(&exchange.call())) {
            supervisor.startAnswered(start->id, result, now);
        } else if (const auto *stop = std::get_if<stop_run>(&exchange.call())) {
            supervisor.stopAnswered(stop->id, result, now);
        } else {
            list_runs_result lists;
            lists.number = std::get<list_runs>(exchange.call()).number;
            lists.result = result == call_result::accepted && !decodeLists(exchange.body(), lists) ? call_result::unanswered : result;
            if (lists.result == call_result::accepted && isAdoptedInstance(lists)) {
                connections.confirm(exchange.connection());
            }
            supervisor.listed(lists, now);
        }
    }

    bool isAdoptedInstance(const list_runs_result &lists) const
    {
        const std::chrono::milliseconds start = settings.supervisor.endpointStart;
        return start.count() == 0 || lists.endpointStart == start;
    }

    void report()
    {
        bounded_ring<agent_event> *const ring = events;
        bool hasCrashed = false;
        for (call_finished &end : supervisor.takeEnds()) {
            metrics.countRun(end.outcome);
            hasCrashed = hasCrashed || end.outcome.endpointCrashed;
            if (ring != nullptr) {
                ring->push(std::move(end));
            }
        }
        if (hasCrashed) {
            metrics.countEndpointCrash(); // Once, because all runs of an instance are lost at the same time.
        }
        if (!isReadyReported && supervisor.isReady()) {
            isReadyReported = true;
            onReady(supervisor.fencingToken());
        }
        if (!isLostReported && supervisor.isLost()) {
            isLostReported = true;
            onLost();
        }
    }

    const worker_client_settings settings;
    std::function<void(std::uint64_t token)> onReady;
    std::function<void()> onLost;
    run_metrics &metrics;
    bounded_ring<worker_command> commands;
    worker_connections connections;
    call_dispatcher dispatcher;
    run_supervisor supervisor;
    CURLM *multi = nullptr;
    std::atomic<bounded_ring<agent_event> *> events = nullptr;
    bool isReadyReported = false;
    bool isLostReported = false;
    absl::flat_hash_map<CURL *, std::unique_ptr<worker_exchange>> active;
    std::vector<std::unique_ptr<worker_exchange>> idle;
    std::optional<duty_thread> thread;
};

} // namespace detail

worker_client::worker_client(
    const worker_client_settings &settings, std::function<void(std::uint64_t token)> onReady, std::function<void()> onLost, run_metrics &metrics, logger &log)
    : d(std::make_unique<detail::worker_client_private>(settings, std::move(onReady), std::move(onLost), metrics, log))
{
}

worker_client::~worker_client()
{
    stop();
}

void worker_client::connect(bounded_ring<agent_event> &events)
{
    d->events = &events;
}

bool worker_client::post(call_endpoint &&call)
{
    worker_command command(std::move(call));
    if (d->commands.tryPush(std::move(command))) {
        return true;
    }
    call = std::move(std::get<call_endpoint>(command)); // NOLINT(bugprone-use-after-move): the ring moves from an item only if it accepts it.
    return false;
}

bool worker_client::post(const stop_call &stop)
{
    return d->commands.tryPush(worker_command(stop));
}

bool worker_client::post(const confirm_home &home)
{
    return d->commands.tryPush(worker_command(home));
}

void worker_client::stop()
{
    d->commands.close();
    d->thread.reset();
}

} // namespace teaselward
