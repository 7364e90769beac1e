#include "http/http_listener.h"

#include "core/concat.h"
#include "http/body_limiter.h"
#include "http/http_error.h"
#include "http/in_flight_counter.h"
#include "http/listen_address.h"
#include "http/response_sender.h"

#include <microhttpd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdarg>
#include <cstdio>
#include <exception>
#include <string_view>
#include <system_error>
#include <utility>

namespace teaselward
{

namespace
{

// Memory of libmicrohttpd for one connection, in bytes. It limits the size of the headers and of each part of a body.
constexpr std::size_t ConnectionMemory = 16384;

// Maximum wait for clients to receive the responses that are set when the listener stops.
constexpr std::chrono::milliseconds StopTimeout = std::chrono::seconds(2);

std::string headerValue(MHD_Connection *connection, const char *name)
{
    const char *value = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);
    return value != nullptr ? value : "";
}

// Converts a timeout to whole seconds, the unit of libmicrohttpd; at least one, because zero means no timeout.
unsigned toTimeoutSeconds(std::chrono::milliseconds time)
{
    return static_cast<unsigned>(std::max<std::chrono::seconds::rep>(1, std::chrono::ceil<std::chrono::seconds>(time).count()));
}

} // namespace

namespace detail
{

class http_listener_private
{
public:
    http_listener_private(const http_listener_settings &listenerSettings, request_handler &receiver, logger &listenerLog)
        : settings(listenerSettings)
        , handler(receiver)
        , log(listenerLog)
        , bodies(listenerSettings.bodyLimit, listenerSettings.bufferLimit)
    {
    }

    // Creates the exchange of a request when its headers are complete.
    MHD_Result begin(MHD_Connection *connection, const char *url, const char *method, void **context)
    {
        auto *exchange = new http_exchange;
        *context = exchange;
        exchange->connection = connection;
        exchange->request.receivedAt = mono_clock::now();
        exchange->request.path = url;
        exchange->request.method = method;
        exchange->request.authorization = headerValue(connection, MHD_HTTP_HEADER_AUTHORIZATION);
        const char *wait = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "wait_ms");
        exchange->request.waitText = wait != nullptr ? wait : "";
        for (const std::string &name : settings.headers) {
            if (const char *value = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name.c_str()); value != nullptr) {
                exchange->request.headers.emplace(name, value);
            }
        }
        return checkLength(*exchange);
    }

    // Refuses a body whose Content-Length exceeds the limit. The response is sent at once if the client waits for
    // '100 Continue' before it sends the body, or if the body is too large to be read and discarded.
    MHD_Result checkLength(http_exchange &exchange)
    {
        const bool isReadable = bodies.checkContentLength(exchange.request, headerValue(exchange.connection, MHD_HTTP_HEADER_CONTENT_LENGTH));
        const bool expectsContinue = !headerValue(exchange.connection, MHD_HTTP_HEADER_EXPECT).empty();
        return !isReadable || (expectsContinue && exchange.request.bodyRefusal != reason::none) ? advance(exchange) : MHD_YES;
    }

    // Passes a complete request to the handler, or sends the response once it is set.
    MHD_Result advance(http_exchange &exchange)
    {
        if (!exchange.dispatched) {
            exchange.dispatched = true;
            inFlight.begin();
            bodies.release(exchange.request);
            if (exchange.request.bodyRefusal != reason::none) {
                exchange.response = handler.refuseBody(exchange.request.bodyRefusal);
            } else if (!handle(exchange)) {
                return MHD_YES; // Suspended; another thread may change the exchange from now on.
            }
        } else {
            exchange.peerClosed = isClosedByPeer(exchange);
        }
        if (exchange.response && closesConnections) {
            exchange.response->closesConnection = true;
        }
        return !exchange.response || sendResponse(exchange) ? MHD_YES : MHD_NO;
    }

    // Calls the handler. An exception must not reach libmicrohttpd, where it would end the process.
    bool handle(http_exchange &exchange)
    {
        try {
            return handler.handle(exchange);
        } catch (const std::exception &error) {
            log.write(log_part::http, concat("A request failed. path=", exchange.request.path, " error=", error.what()));
            http_response failed;
            failed.status = MHD_HTTP_INTERNAL_SERVER_ERROR;
            failed.why = reason::outcomeUnknown;
            exchange.response = std::move(failed);
            return true;
        }
    }

    // Deletes the exchange of a request after its response was sent or its connection was lost.
    void end(http_exchange *exchange, bool delivered)
    {
        if (exchange->dispatched) {
            if (exchange->response) {
                const auto duration = std::chrono::duration_cast<std::chrono::microseconds>(mono_clock::now() - exchange->request.receivedAt);
                handler.finished(*exchange->response, delivered && !exchange->peerClosed, duration);
            }
            inFlight.end();
        } else {
            bodies.release(exchange->request);
        }
        delete exchange;
    }

    // Callbacks of libmicrohttpd, which defines their signatures.

    static MHD_Result onAccess(void *self,
                               MHD_Connection *connection,
                               const char *url,
                               const char *method,
                               const char * /*version*/,
                               const char *data,
                               std::size_t *size,
                               void **context)
    {
        auto *listener = static_cast<http_listener_private *>(self);
        if (*context == nullptr) {
            return listener->begin(connection, url, method, context);
        }
        auto &exchange = *static_cast<http_exchange *>(*context);
        if (*size > 0) {
            const bool keepsConnection = listener->bodies.receive(exchange.request, {data, *size});
            *size = 0;
            return keepsConnection ? MHD_YES : MHD_NO;
        }
        return listener->advance(exchange);
    }

    static void onCompleted(void *self, MHD_Connection * /*connection*/, void **context, MHD_RequestTerminationCode code)
    {
        if (*context != nullptr) {
            static_cast<http_listener_private *>(self)->end(static_cast<http_exchange *>(*context), code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
            *context = nullptr;
        }
    }

    static void onConnection(void *self, MHD_Connection * /*connection*/, void ** /*context*/, MHD_ConnectionNotificationCode code)
    {
        static_cast<http_listener_private *>(self)->connections += code == MHD_CONNECTION_NOTIFY_STARTED ? 1 : -1;
    }

    static void onLog(void *self, const char *format, va_list arguments)
    {
        auto *listener = static_cast<http_listener_private *>(self);
        if (!listener->log.isEnabled()) {
            return;
        }
        std::array<char, 256> text{};
        std::vsnprintf(text.data(), text.size(), format, arguments);
        const std::string_view line(text.data());
        listener->log.write(log_part::http, line.substr(0, line.find_last_not_of(" \n") + 1));
    }

    http_listener_settings settings;
    request_handler &handler;
    logger &log;
    MHD_Daemon *daemon = nullptr;
    int descriptor = -1;
    bool quiesced = false;
    std::atomic<bool> closesConnections = false;
    std::atomic<std::int64_t> connections = 0;
    body_limiter bodies;
    std::string address;
    in_flight_counter inFlight; ///< Requests that were passed to the handler and whose response was not sent yet.
};

} // namespace detail

http_listener::http_listener(const http_listener_settings &settings, request_handler &handler, logger &log)
    : d(std::make_unique<detail::http_listener_private>(settings, handler, log))
{
    d->descriptor = listen_address(settings.listen).openSocket();
    d->address = listen_address::boundAddress(d->descriptor);
    d->daemon = MHD_start_daemon(MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG,
                                 0,
                                 nullptr,
                                 nullptr,
                                 &detail::http_listener_private::onAccess,
                                 d.get(),
                                 // The logger comes first, so that libmicrohttpd uses it for errors in the options that follow.
                                 MHD_OPTION_EXTERNAL_LOGGER,
                                 &detail::http_listener_private::onLog,
                                 d.get(),
                                 MHD_OPTION_LISTEN_SOCKET,
                                 d->descriptor,
                                 MHD_OPTION_CONNECTION_LIMIT,
                                 static_cast<unsigned>(settings.connectionLimit),
                                 MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                                 ConnectionMemory,
                                 MHD_OPTION_CONNECTION_TIMEOUT,
                                 toTimeoutSeconds(settings.idleTimeout),
                                 MHD_OPTION_NOTIFY_COMPLETED,
                                 &detail::http_listener_private::onCompleted,
                                 d.get(),
                                 MHD_OPTION_NOTIFY_CONNECTION,
                                 &detail::http_listener_private::onConnection,
                                 d.get(),
                                 MHD_OPTION_END);
    if (d->daemon == nullptr) {
        ::close(d->descriptor);
        throw std::system_error(http_error::listenFailed, settings.listen);
    }
}

http_listener::~http_listener()
{
    stop();
}

const std::string &http_listener::address() const
{
    return d->address;
}

std::int64_t http_listener::connections() const
{
    return d->connections;
}

void http_listener::closeAfterResponses()
{
    d->closesConnections = true;
}

void http_listener::quiesce()
{
    if (d->daemon != nullptr && !d->quiesced) {
        d->quiesced = true;
        MHD_quiesce_daemon(d->daemon);
    }
}

void http_listener::stop()
{
    if (d->daemon == nullptr) {
        return;
    }
    quiesce();
    d->inFlight.waitUntilZero(mono_clock::now() + StopTimeout);
    MHD_stop_daemon(d->daemon);
    d->daemon = nullptr;
    // libmicrohttpd leaves the socket open after MHD_quiesce_daemon() and may use it until MHD_stop_daemon() returns.
    ::close(d->descriptor);
}

} // namespace teaselward
