#include "support/worker_stub.h"

#include "base/duty_thread.h"
#include "process/http_caller.h"

#include <absl/synchronization/mutex.h>
#include <absl/synchronization/notification.h>
#include <absl/time/time.h>
#include <arpa/inet.h>
#include <curl/curl.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace teaselward
{

namespace
{

using clock = std::chrono::steady_clock;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::chrono::milliseconds HeartbeatInterval{100};
constexpr std::chrono::milliseconds MaxLease{1000};
constexpr unsigned Conflict = 409;
constexpr std::int64_t FirstBorn = 1000;

/** Run of a task that is in progress. */
struct stub_run {
    int attempt = 0;
    std::uint32_t cpuMillis = 0;
    clock::time_point begin;
    clock::time_point end;
    bool fails = false;
};

/** Start request that got no response and is executed after a delay. */
struct delayed_start {
    clock::time_point due;
    json order;
};

MHD_Result reply(MHD_Connection *connection, unsigned status, const json &body)
{
    const std::string text = body.dump();
    MHD_Response *response = MHD_create_response_from_buffer(text.size(), const_cast<char *>(text.data()), MHD_RESPMEM_MUST_COPY);
    const MHD_Result result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return result;
}

} // namespace

namespace detail
{

class worker_stub_private
{
public:
    worker_stub_private(std::string ownAddress, std::string agentAddress, std::uint32_t cpu)
        : address(std::move(ownAddress))
        , agent(std::move(agentAddress))
        , cpuMillis(cpu)
    {
    }

    // Start time that the worker states; only that it differs between lives matters.
    milliseconds born() const ABSL_SHARED_LOCKS_REQUIRED(mutex)
    {
        return milliseconds(FirstBorn + life);
    }

    json clockFields() const ABSL_SHARED_LOCKS_REQUIRED(mutex)
    {
        return {{"ClockMs", std::chrono::duration_cast<milliseconds>(clock::now() - bornAt).count()}, {"born", born().count()}};
    }

    // Executes delayed starts that are due, and finishes runs whose time or lease has ended. Called before each access to the runs.
    void processDue() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        const auto now = clock::now();
        for (auto it = delayedStarts.begin(); it != delayedStarts.end();) {
            if (it->due <= now) {
                startRun(it->order);
                it = delayedStarts.erase(it);
            } else {
                ++it;
            }
        }
        for (auto it = runs.begin(); it != runs.end();) {
            const bool isOver = it->second.end <= now;
            if (isOver || leaseEnd <= now) {
                finish(it->first, it->second, !isOver ? "lapsed" : it->second.fails ? "failed" : "done");
                it = runs.erase(it);
            } else {
                ++it;
            }
        }
    }

    void finish(const std::string &name, const stub_run &run, const std::string &outcome) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        finishedRuns.push_back({++lastSequence, name, run.attempt, outcome, ""});
        highestAttempts[name] = std::max(highestAttempts[name], run.attempt);
    }

    void extendLease(const json &body) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        if (body.contains("DeadlineMs")) {
            const auto requestedEnd = bornAt + milliseconds(body.at("DeadlineMs").get<std::int64_t>());
            leaseEnd = std::max(leaseEnd, std::min(requestedEnd, clock::now() + MaxLease));
        }
    }

    // Returns true if the fencing token of the request is older than the newest known one, so the request is from a replaced agent.
    // Otherwise it becomes the newest known token.
    bool isFenced(const json &body) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        const auto requestToken = body.value("FenceToken", std::uint64_t{0});
        if (requestToken < fenceToken) {
            return true;
        }
        fenceToken = requestToken;
        return false;
    }

    // Executes a start request. Returns the reason if it is refused.
    std::optional<std::string> startRun(const json &order) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        const auto name = order.at("Task").get<std::string>();
        const int attempt = order.at("Attempt").get<int>();
        if (isFenced(order)) {
            return "fence";
        }
        extendLease(order);
        const auto found = runs.find(name);
        if (found != runs.end() && found->second.attempt == attempt) {
            return std::nullopt;
        }
        if (attempt <= highestAttempts[name]) {
            return "old";
        }
        if (found != runs.end()) {
            violations.push_back("two runs of " + name);
            return std::nullopt;
        }
        const json spec = json::parse(order.at("Spec").get<std::string>());
        stub_run run;
        run.attempt = attempt;
        run.cpuMillis = spec.at("cpu").get<std::uint32_t>();
        run.begin = clock::now();
        run.fails = fails;
        run.end = run.begin + milliseconds(fails ? 0 : spec.at("ms").get<int>());
        std::uint32_t usedCpuMillis = run.cpuMillis;
        for (const auto &[otherName, otherRun] : runs) {
            usedCpuMillis += otherRun.cpuMillis;
        }
        if (usedCpuMillis > cpuMillis) {
            violations.push_back("over capacity by " + name);
        }
        runs.emplace(name, run);
        ++startedRuns;
        ++startedRunsOfThisLife;
        return std::nullopt;
    }

    MHD_Result handleStart(MHD_Connection *connection, const json &body)
    {
        const absl::MutexLock lock(&mutex);
        processDue();
        if (startsToDelay > 0) {
            --startsToDelay;
            delayedStarts.push_back({clock::now() + startDelay, body});
            return MHD_NO;
        }
        json answer = clockFields();
        if (const auto refused = startRun(body)) {
            answer["Reason"] = *refused;
            return reply(connection, Conflict, answer);
        }
        return reply(connection, MHD_HTTP_OK, answer);
    }

    MHD_Result handleStop(MHD_Connection *connection, const json &body)
    {
        const absl::MutexLock lock(&mutex);
        processDue();
        const auto name = body.at("Task").get<std::string>();
        const int attempt = body.at("Attempt").get<int>();
        if (const auto found = runs.find(name); found != runs.end() && found->second.attempt <= attempt) {
            finish(name, found->second, "stopped");
            runs.erase(found);
        }
        highestAttempts[name] = std::max(highestAttempts[name], attempt);
        return reply(connection, MHD_HTTP_OK, clockFields());
    }

    MHD_Result handleHold(MHD_Connection *connection, const json &body)
    {
        const auto until = clock::now() + milliseconds(body.value("WaitMs", 0));
        absl::ReleasableMutexLock lock(&mutex);
        if (isFenced(body)) {
            json answer = clockFields();
            answer["Reason"] = "fence";
            return reply(connection, Conflict, answer);
        }
        extendLease(body);
        const auto acknowledged = body.value("AckCursor", std::uint64_t{0});
        std::erase_if(finishedRuns, [acknowledged](const json &row) {
            return row.at(0).get<std::uint64_t>() <= acknowledged;
        });
        processDue();
        const std::uint64_t calledLife = life;
        while (finishedRuns.empty() && clock::now() < until && !isDark && life == calledLife) {
            changed.WaitWithTimeout(&mutex, absl::Milliseconds(5));
            processDue();
        }
        waitWhileDark();
        if (life != calledLife) {
            return MHD_NO;
        }
        json answer = clockFields();
        answer["Finished"] = finishedRuns;
        answer["Running"] = json::array();
        for (const auto &[name, run] : runs) {
            const auto percent = 100 * (clock::now() - run.begin) / std::max(run.end - run.begin, clock::duration(1));
            answer["Running"].push_back({name, run.attempt, "", percent, run.cpuMillis});
        }
        lock.Release();
        return reply(connection, MHD_HTTP_OK, answer);
    }

    void waitWhileDark() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex)
    {
        while (isDark && !stopping.HasBeenNotified()) {
            changed.WaitWithTimeout(&mutex, absl::Milliseconds(5));
        }
    }

    // Returns whether a call may be handled: a life handles only calls on connections that it has accepted. Waits while the worker is dark.
    bool admits(MHD_Connection *connection)
    {
        const absl::MutexLock lock(&mutex);
        waitWhileDark();
        const auto found = connectionLives.find(connection);
        return found != connectionLives.end() && found->second == life;
    }

    // Records the life that accepts a connection; one that is opened while the worker is dark belongs to no life.
    static void onConnection(void *self, MHD_Connection *connection, void ** /*context*/, MHD_ConnectionNotificationCode code)
    {
        auto *stub = static_cast<worker_stub_private *>(self);
        const absl::MutexLock lock(&stub->mutex);
        if (code == MHD_CONNECTION_NOTIFY_STARTED) {
            stub->connectionLives[connection] = stub->isDark ? 0 : stub->life;
        } else {
            stub->connectionLives.erase(connection);
        }
    }

    // Main function of the heartbeat thread.
    void sendHeartbeats()
    {
        std::uint64_t sequence = 0;
        while (!stopping.WaitForNotificationWithTimeout(absl::FromChrono(HeartbeatInterval))) {
            if (agent.empty() || isSilent()) {
                continue;
            }
            const auto [drains, capacity] = announcedState();
            const json body{{"Service", "register"},
                            {"Address", address},
                            {"Zone", "fd-1"},
                            {"Version", "v1"},
                            {"Slots", 4},
                            {"State", drains ? "draining" : "ready"},
                            {"ColdRemainingMs", 0},
                            {"Capacity", {{"Cpu", capacity}, {"MemMb", 4096}, {"Gpu", 0}}},
                            {"Labels", json::array()},
                            {"ClockMs", 1},
                            {"born", announcedBorn()},
                            {"Sequence", ++sequence}};
            testing::put("http://" + agent + "/teaselward/instances/i-1", body);
        }
    }

    bool isSilent()
    {
        const absl::MutexLock lock(&mutex);
        return isDark;
    }

    std::int64_t announcedBorn()
    {
        const absl::MutexLock lock(&mutex);
        return born().count();
    }

    // Returns whether the worker drains, and its CPU capacity.
    std::pair<bool, std::uint32_t> announcedState()
    {
        const absl::MutexLock lock(&mutex);
        return {draining, cpuMillis};
    }

    static MHD_Result onRequest(
        void *self, MHD_Connection *connection, const char *url, const char *method, const char *version, const char *data, std::size_t *size, void **request);

    const std::string address;
    const std::string agent;
    mutable absl::Mutex mutex;
    clock::time_point bornAt ABSL_GUARDED_BY(mutex) = clock::now() - std::chrono::seconds(50);
    std::uint64_t life ABSL_GUARDED_BY(mutex) = 1;
    bool isDark ABSL_GUARDED_BY(mutex) = false;
    std::map<MHD_Connection *, std::uint64_t> connectionLives ABSL_GUARDED_BY(mutex);
    std::uint32_t cpuMillis ABSL_GUARDED_BY(mutex);
    absl::CondVar changed;
    std::map<std::string, stub_run> runs ABSL_GUARDED_BY(mutex);
    std::map<std::string, int> highestAttempts ABSL_GUARDED_BY(mutex); ///< Per task: the highest attempt that has ended or was stopped.
    std::vector<json> finishedRuns ABSL_GUARDED_BY(mutex);
    std::vector<delayed_start> delayedStarts ABSL_GUARDED_BY(mutex);
    std::vector<std::string> violations ABSL_GUARDED_BY(mutex);
    std::uint64_t lastSequence ABSL_GUARDED_BY(mutex) = 0;
    std::uint64_t fenceToken ABSL_GUARDED_BY(mutex) = 0;
    clock::time_point leaseEnd ABSL_GUARDED_BY(mutex) = clock::now();
    std::size_t startedRuns ABSL_GUARDED_BY(mutex) = 0;
    std::size_t startedRunsOfThisLife ABSL_GUARDED_BY(mutex) = 0;
    int startsToDelay ABSL_GUARDED_BY(mutex) = 0;
    milliseconds startDelay ABSL_GUARDED_BY(mutex){};
    bool fails ABSL_GUARDED_BY(mutex) = false;
    bool draining ABSL_GUARDED_BY(mutex) = false;
    MHD_Daemon *daemon = nullptr;
    absl::Notification stopping;
    std::unique_ptr<duty_thread> heartbeats;
};

MHD_Result worker_stub_private::onRequest(void *self,
                                          MHD_Connection *connection,
                                          const char *url,
                                          const char * /*method*/,
                                          const char * /*version*/,
                                          const char *data,
                                          std::size_t *size,
                                          void **request)
{
    auto *stub = static_cast<worker_stub_private *>(self);
    if (*request == nullptr) {
        *request = new std::string();
        return MHD_YES;
    }
    auto *text = static_cast<std::string *>(*request);
    if (*size != 0) {
        text->append(data, *size);
        *size = 0;
        return MHD_YES;
    }
    if (!stub->admits(connection)) {
        return MHD_NO;
    }
    const std::string_view path = url;
    const json body = json::parse(*text, nullptr, false);
    if (path == "/teaselward/run-start") {
        return stub->handleStart(connection, body);
    }
    if (path == "/teaselward/run-stop") {
        return stub->handleStop(connection, body);
    }
    return path == "/teaselward/hold" ? stub->handleHold(connection, body) : reply(connection, MHD_HTTP_NOT_FOUND, json::object());
}

} // namespace detail

worker_stub::worker_stub(std::string address, std::string agent, std::uint32_t cpuMillis)
    : d(std::make_unique<detail::worker_stub_private>(std::move(address), std::move(agent), cpuMillis))
{
    sockaddr_in socketAddress{};
    const std::size_t colon = d->address.rfind(':');
    socketAddress.sin_family = AF_INET;
    socketAddress.sin_port = htons(static_cast<std::uint16_t>(std::stoi(d->address.substr(colon + 1))));
    inet_pton(AF_INET, d->address.substr(0, colon).c_str(), &socketAddress.sin_addr);
    const auto onCompleted = [](void * /*self*/, MHD_Connection * /*connection*/, void **request, MHD_RequestTerminationCode /*code*/) {
        delete static_cast<std::string *>(*request);
        *request = nullptr;
    };
    d->daemon = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
                                 0,
                                 nullptr,
                                 nullptr,
                                 &detail::worker_stub_private::onRequest,
                                 d.get(),
                                 MHD_OPTION_SOCK_ADDR,
                                 reinterpret_cast<sockaddr *>(&socketAddress),
                                 MHD_OPTION_NOTIFY_COMPLETED,
                                 static_cast<MHD_RequestCompletedCallback>(onCompleted),
                                 nullptr,
                                 MHD_OPTION_NOTIFY_CONNECTION,
                                 &detail::worker_stub_private::onConnection,
                                 d.get(),
                                 MHD_OPTION_END);
    if (d->daemon == nullptr) {
        throw std::runtime_error("cannot listen on " + d->address);
    }
    d->heartbeats = std::make_unique<duty_thread>("heartbeats", [this] {
        d->sendHeartbeats();
    });
}

worker_stub::~worker_stub()
{
    d->stopping.Notify();
    d->heartbeats.reset();
    MHD_stop_daemon(d->daemon);
}

void worker_stub::delayStarts(int starts, std::chrono::milliseconds delay)
{
    const absl::MutexLock lock(&d->mutex);
    d->startsToDelay = starts;
    d->startDelay = delay;
}

void worker_stub::setFailing(bool fails)
{
    const absl::MutexLock lock(&d->mutex);
    d->fails = fails;
}

void worker_stub::setDraining(bool drains)
{
    const absl::MutexLock lock(&d->mutex);
    d->draining = drains;
}

void worker_stub::setCapacity(std::uint32_t cpuMillis)
{
    const absl::MutexLock lock(&d->mutex);
    d->cpuMillis = cpuMillis;
}

void worker_stub::crash()
{
    const absl::MutexLock lock(&d->mutex);
    d->processDue();
    d->isDark = true;
    d->runs.clear();
    d->delayedStarts.clear();
}

void worker_stub::restart()
{
    const absl::MutexLock lock(&d->mutex);
    ++d->life;
    d->bornAt = clock::now();
    d->leaseEnd = d->bornAt;
    d->highestAttempts.clear();
    d->finishedRuns.clear();
    d->lastSequence = 0;
    d->fenceToken = 0;
    d->startedRunsOfThisLife = 0;
    d->isDark = false;
    d->changed.SignalAll();
}

std::chrono::milliseconds worker_stub::born() const
{
    const absl::MutexLock lock(&d->mutex);
    return d->born();
}

std::size_t worker_stub::startedRunsOfThisLife() const
{
    const absl::MutexLock lock(&d->mutex);
    return d->startedRunsOfThisLife;
}

std::chrono::milliseconds worker_stub::leaseLeft() const
{
    const absl::MutexLock lock(&d->mutex);
    return std::max(milliseconds::zero(), std::chrono::duration_cast<milliseconds>(d->leaseEnd - clock::now()));
}

std::size_t worker_stub::startedRuns() const
{
    const absl::MutexLock lock(&d->mutex);
    return d->startedRuns;
}

std::size_t worker_stub::activeRuns() const
{
    const absl::MutexLock lock(&d->mutex);
    d->processDue();
    return d->runs.size();
}

std::vector<std::string> worker_stub::violations() const
{
    const absl::MutexLock lock(&d->mutex);
    return d->violations;
}

} // namespace teaselward
