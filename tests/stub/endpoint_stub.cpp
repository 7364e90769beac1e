#include "stub/endpoint_stub.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <cstring>
#include <mutex>
#include <stdexcept>
#include <thread>

namespace teaselward
{

namespace detail
{

class endpoint_stub_private
{
public:
    explicit endpoint_stub_private(const endpoint_stub_settings &stubSettings)
        : settings(stubSettings)
    {
    }

    // Runs one task and answers.
    MHD_Result answer(MHD_Connection *connection, const char *url, const char *method, std::string body)
    {
        const char *task = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Teaselward-Task");
        {
            const std::lock_guard lock(mutex);
            tasks.emplace_back(task != nullptr ? task : "");
            paths.emplace_back(url);
            most = std::max(most, ++running);
        }
        std::this_thread::sleep_for(settings.delayFromPayload ? std::chrono::milliseconds(std::atoi(body.c_str())) : settings.delay);
        {
            const std::lock_guard lock(mutex);
            --running;
        }
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

    static MHD_Result onAccess(void *self,
                               MHD_Connection *connection,
                               const char *url,
                               const char *method,
                               const char * /*version*/,
                               const char *data,
                               std::size_t *size,
                               void **context)
    {
        if (*context == nullptr) {
            *context = new std::string;
            return MHD_YES;
        }
        auto *body = static_cast<std::string *>(*context);
        if (*size > 0) {
            body->append(data, *size);
            *size = 0;
            return MHD_YES;
        }
        return static_cast<endpoint_stub_private *>(self)->answer(connection, url, method, *body);
    }

    static void onCompleted(void * /*self*/, MHD_Connection * /*connection*/, void **context, MHD_RequestTerminationCode /*code*/)
    {
        delete static_cast<std::string *>(*context);
        *context = nullptr;
    }

    const endpoint_stub_settings settings;
    MHD_Daemon *daemon = nullptr;
    std::string address;
    mutable std::mutex mutex;
    std::vector<std::string> tasks;
    std::vector<std::string> paths;
    int running = 0;
    int most = 0;
};

} // namespace detail

endpoint_stub::endpoint_stub(const endpoint_stub_settings &settings)
    : d(std::make_unique<detail::endpoint_stub_private>(settings))
{
    const auto colon = settings.listen.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    if (colon == std::string::npos || inet_pton(AF_INET, settings.listen.substr(0, colon).c_str(), &address.sin_addr) != 1) {
        throw std::runtime_error("not an address: " + settings.listen);
    }
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(settings.listen.substr(colon + 1))));
    d->daemon = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL,
                                 0,
                                 nullptr,
                                 nullptr,
                                 &detail::endpoint_stub_private::onAccess,
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
}

endpoint_stub::~endpoint_stub()
{
    MHD_stop_daemon(d->daemon);
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

int endpoint_stub::mostAtOnce() const
{
    const std::lock_guard lock(d->mutex);
    return d->most;
}

} // namespace teaselward
