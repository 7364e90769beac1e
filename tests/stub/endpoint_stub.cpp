#include "stub/endpoint_stub.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <condition_variable>
#include <cstdlib>
#include <cstring>
#include <map>
#include <mutex>
#include <stdexcept>
#include <thread>

namespace teaselward
{

namespace detail
{

/** State of one request. */
struct stub_task {
    std::string body;
    bool started = false;
};

class endpoint_stub_private
{
public:
    explicit endpoint_stub_private(const endpoint_stub_settings &stubSettings)
        : settings(stubSettings)
    {
    }

    // Suspends the connection of a fully received request for the run time of its task.
    MHD_Result suspendForRunTime(MHD_Connection *connection, const char *url, stub_task &task)
    {
        task.started = true;
        const char *id = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Teaselward-Task");
        const auto delay = settings.delayFromPayload ? std::chrono::milliseconds(std::atoi(task.body.c_str())) : settings.delay;
        const std::lock_guard lock(mutex);
        if (stopping) {
            return MHD_NO; // The timer thread may have ended; then no thread would resume the connection.
        }
        MHD_suspend_connection(connection);
        tasks.emplace_back(id != nullptr ? id : "");
        paths.emplace_back(url);
        suspended.emplace(std::chrono::steady_clock::now() + delay, connection);
        maxSuspended = std::max(maxSuspended, static_cast<int>(suspended.size()));
        changed.notify_one();
        return MHD_YES;
    }

    // Sends the response after the run time has passed.
    MHD_Result respond(MHD_Connection *connection, const char *url, const char *method, std::string &body) const
    {
        if (settings.hangUp) {
            return MHD_NO;
        }
        unsigned status = MHD_HTTP_OK;
        if (std::strncmp(url, "/run/", 5) != 0 || std::strcmp(method, "POST") != 0) {
            status = MHD_HTTP_NOT_FOUND;
        } else if (settings.decline) {
            status = MHD_HTTP_SERVICE_UNAVAILABLE;
        } else if (settings.fail) {
            status = MHD_HTTP_INTERNAL_SERVER_ERROR;
        }
        std::transform(body.begin(), body.end(), body.begin(), [](unsigned char c) {
            return static_cast<char>(std::toupper(c));
        });
        MHD_Response *response = MHD_create_response_from_buffer(body.size(), body.data(), MHD_RESPMEM_MUST_COPY);
        if (settings.decline) {
            MHD_add_response_header(response, "Teaselward-Not-Run", "1");
        }
        const MHD_Result result = MHD_queue_response(connection, status, response);
        MHD_destroy_response(response);
        return result;
    }

    // Resumes connections when the run time of their task has passed. On shutdown it resumes all of them.
    void runTimer()
    {
        std::unique_lock lock(mutex);
        while (!stopping || !suspended.empty()) {
            if (suspended.empty()) {
                changed.wait(lock);
            } else if (stopping || suspended.begin()->first <= std::chrono::steady_clock::now()) {
                MHD_resume_connection(suspended.begin()->second);
                suspended.erase(suspended.begin());
            } else {
                const auto until = suspended.begin()->first; // Copied, because the map may change while the wait releases the lock.
                changed.wait_until(lock, until);
            }
        }
    }

    static MHD_Result onRequest(void *self,
                                MHD_Connection *connection,
                                const char *url,
                                const char *method,
                                const char * /*version*/,
                                const char *data,
                                std::size_t *size,
                                void **context)
    {
        if (*context == nullptr) {
            *context = new stub_task;
            return MHD_YES;
        }
        auto *stub = static_cast<endpoint_stub_private *>(self);
        auto *task = static_cast<stub_task *>(*context);
        if (*size > 0) {
            task->body.append(data, *size);
            *size = 0;
            return MHD_YES;
        }
        return task->started ? stub->respond(connection, url, method, task->body) : stub->suspendForRunTime(connection, url, *task);
    }

    static void onCompleted(void * /*self*/, MHD_Connection * /*connection*/, void **context, MHD_RequestTerminationCode /*code*/)
    {
        delete static_cast<stub_task *>(*context);
        *context = nullptr;
    }

    const endpoint_stub_settings settings;
    MHD_Daemon *daemon = nullptr;
    std::string address;
    mutable std::mutex mutex;
    std::condition_variable changed;
    std::multimap<std::chrono::steady_clock::time_point, MHD_Connection *> suspended; ///< Suspended connections, ordered by the end of their tasks.
    std::vector<std::string> tasks;
    std::vector<std::string> paths;
    int maxSuspended = 0;
    bool stopping = false;
    std::thread timer;
};

} // namespace detail

endpoint_stub::endpoint_stub(const endpoint_stub_settings &settings)
    : d(std::make_unique<detail::endpoint_stub_private>(settings))
{
    const auto colon = settings.listen.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    if (colon == std::string::npos || inet_pton(AF_INET, settings.listen.substr(0, colon).c_str(), &address.sin_addr) != 1) {
        throw std::runtime_error("invalid listen address, expected IP:PORT: " + settings.listen);
    }
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(settings.listen.substr(colon + 1))));
    d->daemon = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME,
                                 0,
                                 nullptr,
                                 nullptr,
                                 &detail::endpoint_stub_private::onRequest,
                                 d.get(),
                                 MHD_OPTION_SOCK_ADDR,
                                 reinterpret_cast<sockaddr *>(&address),
                                 MHD_OPTION_LISTENING_ADDRESS_REUSE,
                                 1U,
                                 MHD_OPTION_NOTIFY_COMPLETED,
                                 &detail::endpoint_stub_private::onCompleted,
                                 d.get(),
                                 MHD_OPTION_END);
    if (d->daemon == nullptr) {
        throw std::runtime_error("cannot listen on " + settings.listen);
    }
    const unsigned port = MHD_get_daemon_info(d->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    d->address = settings.listen.substr(0, colon) + ":" + std::to_string(port);
    d->timer = std::thread([this] {
        d->runTimer();
    });
}

endpoint_stub::~endpoint_stub()
{
    // libmicrohttpd requires that no connection is suspended when the daemon stops. The listener is closed first, so that no
    // request arrives after the last connection was resumed.
    const int descriptor = MHD_quiesce_daemon(d->daemon);
    {
        const std::lock_guard lock(d->mutex);
        d->stopping = true;
        d->changed.notify_one();
    }
    d->timer.join();
    MHD_stop_daemon(d->daemon);
    ::close(descriptor);
}

std::string endpoint_stub::address() const
{
    return d->address;
}

std::vector<std::string> endpoint_stub::tasks() const
{
    const std::lock_guard lock(d->mutex);
    return d->tasks;
}

std::vector<std::string> endpoint_stub::paths() const
{
    const std::lock_guard lock(d->mutex);
    return d->paths;
}

int endpoint_stub::maxConcurrentRequests() const
{
    const std::lock_guard lock(d->mutex);
    return d->maxSuspended;
}

} // namespace teaselward
