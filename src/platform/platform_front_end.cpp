#include "platform/platform_front_end.h"

#include "base/duty_thread.h"
#include "base/stop_signal.h"
#include "http/event_dispatcher.h"
#include "http/http_listener.h"
#include "http/pending_requests.h"
#include "metrics/exposition_writer.h"
#include "metrics/request_metrics.h"
#include "platform/client_headers.h"
#include "platform/job_api.h"
#include "platform/job_codec.h"
#include "platform/readiness_api.h"

#include <absl/synchronization/mutex.h>

#include <optional>
#include <utility>

namespace teaselward
{

namespace
{

// Interval of the check for closed client connections. A client that lost its connection submits its job again after 1300 ms; by
// then the runs of the first submission must have ended.
constexpr std::chrono::milliseconds AbandonCheckInterval{200};

// Answers queued for the reply thread.
constexpr std::size_t ReplyCapacity = 4096;

// Maximum connections of the load balancer, which opens few.
constexpr std::uint32_t MaxBalancerConnections = 32;

} // namespace

namespace detail
{

class platform_front_end_private
{
public:
    platform_front_end_private(const platform_front_end_settings &settings,
                               const shared_routes &routes,
                               bounded_ring<entry_event> &decisions,
                               std::function<bool()> isReady,
                               logger &log)
        : events(decisions)
        , replies(ReplyCapacity)
        , dispatcher(request_origin::platformClient, pending, decisions)
        , jobs(
              routes,
              dispatcher,
              [this](reason why, bool delivered, std::chrono::microseconds duration) {
                  const absl::MutexLock lock(&metricsMutex);
                  metrics.countRequest(request_origin::platformClient, why, delivered, duration);
              },
              log)
        , readiness(std::move(isReady), [this] {
            return writeMetrics();
        })
    {
        http_listener_settings common{settings.listen, settings.bodyLimit, settings.bufferLimit, settings.connectionLimit, settings.idleTimeout};
        common.headers = clientHeaders();
        clientListener.emplace(common, jobs, log);
        common.listen = settings.readiness;
        common.connectionLimit = MaxBalancerConnections;
        balancerListener.emplace(common, readiness, log);
        replyThread.emplace("reply", [this] {
            writeReplies();
        });
        abandonThread.emplace("abandon", [this] {
            detectAbandonedRequests();
        });
    }

    std::string writeMetrics()
    {
        exposition_writer writer;
        {
            const absl::MutexLock lock(&metricsMutex);
            metrics.write(writer);
        }
        writer.family("teaselward_connections", "gauge", "Open connections.");
        writer.sample("teaselward_connections", {{"listener", "client"}}, static_cast<double>(clientListener->connections()));
        return writer.take();
    }

    // Loop of the reply thread.
    void writeReplies()
    {
        while (const auto reply = replies.pop()) {
            if (const auto request = pending.take(reply->request.number)) {
                resumeExchange(*request->exchange, encodeJobAnswer(reply->answer));
            }
        }
        for (const pending_request &request : pending.close()) {
            resumeExchange(*request.exchange, encodeJobAnswer(request.unanswered));
        }
    }

    // Loop of the thread that detects clients which have closed their connections.
    void detectAbandonedRequests()
    {
        while (!stopping.waitFor(AbandonCheckInterval)) {
            const connection_check check = pending.checkConnections();
            for (const std::uint64_t number : check.closed) {
                events.push(request_abandoned{{request_origin::platformClient, number}});
            }
            if (check.lastRequest > 0) {
                events.push(callers_checked{check.checkedAt, check.lastRequest});
            }
        }
    }

    // The reply thread ends before the listeners stop, because libmicrohttpd must not have suspended connections when it stops.
    void stop()
    {
        if (!clientListener) {
            return;
        }
        clientListener->quiesce();
        stopping.notify();
        abandonThread.reset();
        replies.close();
        replyThread.reset();
        clientListener->stop();
        balancerListener.reset(); // Its metrics read the connection count of the other listener.
        clientListener.reset();
    }

    bounded_ring<entry_event> &events;
    bounded_ring<reply_job> replies;
    pending_requests pending;
    absl::Mutex metricsMutex;
    request_metrics metrics ABSL_GUARDED_BY(metricsMutex);
    event_dispatcher dispatcher;
    job_api jobs;
    readiness_api readiness;
    std::optional<http_listener> clientListener;
    std::optional<http_listener> balancerListener;
    stop_signal stopping;
    std::optional<duty_thread> replyThread;
    std::optional<duty_thread> abandonThread;
};

} // namespace detail

platform_front_end::platform_front_end(
    const platform_front_end_settings &settings, const shared_routes &routes, bounded_ring<entry_event> &events, std::function<bool()> isReady, logger &log)
    : d(std::make_unique<detail::platform_front_end_private>(settings, routes, events, std::move(isReady), log))
{
}

platform_front_end::~platform_front_end()
{
    stop();
}

bool platform_front_end::post(reply_job reply)
{
    return d->replies.push(std::move(reply));
}

void platform_front_end::beginDrain()
{
    d->clientListener->closeAfterResponses();
}

void platform_front_end::stop()
{
    d->stop();
}

} // namespace teaselward
