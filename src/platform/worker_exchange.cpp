#include "platform/worker_exchange.h"

#include "agent/run/call_dispatcher.h"
#include "http/http_error.h"
#include "platform/run_codec.h"

#include <cerrno>
#include <system_error>
#include <utility>

namespace teaselward
{

namespace
{

// Maximum bytes of one response: 500 finished runs and the active runs of a large machine.
constexpr std::size_t ResponseLimit = 1 << 20;

std::string pathOf(const start_run & /*call*/)
{
    return "/teaselward/run-start";
}

std::string pathOf(const stop_run & /*call*/)
{
    return "/teaselward/run-stop";
}

std::string pathOf(const list_runs & /*call*/)
{
    return "/teaselward/hold";
}

// Extends the timeout of list_runs, because the worker may hold back its answer until a run ends.
std::chrono::milliseconds extraTimeOf(const run_call &call)
{
    const auto *list = std::get_if<list_runs>(&call);
    return list != nullptr ? list->wait : std::chrono::milliseconds::zero();
}

} // namespace

namespace detail
{

class worker_exchange_private
{
public:
    worker_exchange_private(const worker_client_settings &clientSettings, worker_connections &clientConnections)
        : settings(clientSettings)
        , connections(clientConnections)
        , handle(curl_easy_init())
    {
    }

    ~worker_exchange_private()
    {
        curl_easy_cleanup(handle);
        curl_slist_free_all(headers);
    }

    // Write callback of libcurl, which collects the body of the response. Returning less than was offered makes libcurl abort the call.
    static std::size_t receive(const char *data, std::size_t size, std::size_t count, void *self)
    {
        auto *exchange = static_cast<worker_exchange_private *>(self);
        if (exchange->response.size() + size * count > ResponseLimit) {
            return 0;
        }
        exchange->response.append(data, size * count);
        return size * count;
    }

    // Callback of libcurl on a new or reused connection, before each time that it sends the request. Through a connection that is not confirmed, also
    // when libcurl repeats a call, the call could reach the next instance of the worker.
    static int onConnected(void *self, char * /*remoteAddress*/, char * /*localAddress*/, int /*remotePort*/, int localPort)
    {
        auto *exchange = static_cast<worker_exchange_private *>(self);
        const std::uint64_t connection = exchange->connections.find(localPort);
        if (call_dispatcher::needsConfirmed(exchange->call) && !exchange->connections.isConfirmed(connection)) {
            return CURL_PREREQFUNC_ABORT;
        }
        exchange->connection = connection;
        exchange->connections.occupy(connection);
        return CURL_PREREQFUNC_OK;
    }

    static curl_socket_t openSocket(void *connections, curlsocktype /*purpose*/, curl_sockaddr *address)
    {
        return static_cast<worker_connections *>(connections)->open(address->family, address->socktype, address->protocol);
    }

    static int closeSocket(void *connections, curl_socket_t socket)
    {
        return static_cast<worker_connections *>(connections)->close(socket);
    }

    const worker_client_settings &settings;
    worker_connections &connections;
    CURL *handle;
    curl_slist *headers = nullptr;
    run_call call;
    std::uint64_t connection = 0; ///< Zero if the call was not sent.
    std::string request;
    std::string response;
};

} // namespace detail

worker_exchange::worker_exchange(const worker_client_settings &settings, worker_connections &connections)
    : d(std::make_unique<detail::worker_exchange_private>(settings, connections))
{
    if (d->handle == nullptr) {
        throw std::system_error(http_error::clientFailed);
    }
    for (const std::string &line : {std::string("Content-Type: application/json"), std::string("Expect:"), "Expected-Instance: " + settings.id}) {
        curl_slist *list = curl_slist_append(d->headers, line.c_str());
        if (list == nullptr) {
            throw std::system_error(http_error::clientFailed);
        }
        d->headers = list;
    }
    CURL *handle = d->handle;
    curl_easy_setopt(handle, CURLOPT_PRIVATE, this);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, d->headers);
    curl_easy_setopt(handle, CURLOPT_POST, 1L);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &detail::worker_exchange_private::receive);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, d.get());
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &detail::worker_exchange_private::onConnected);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, d.get());
    curl_easy_setopt(handle, CURLOPT_OPENSOCKETFUNCTION, &detail::worker_exchange_private::openSocket);
    curl_easy_setopt(handle, CURLOPT_OPENSOCKETDATA, &connections);
    curl_easy_setopt(handle, CURLOPT_CLOSESOCKETFUNCTION, &detail::worker_exchange_private::closeSocket);
    curl_easy_setopt(handle, CURLOPT_CLOSESOCKETDATA, &connections);
}

worker_exchange::~worker_exchange() = default;

void worker_exchange::prepare(run_call call)
{
    d->call = std::move(call);
    d->connection = 0;
    d->response.clear();
    const std::string url = std::visit(
        [this](const auto &one) {
            d->request = encodeCall(one);
            return "http://" + d->settings.address + pathOf(one);
        },
        d->call);
    curl_easy_setopt(d->handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(d->handle, CURLOPT_POSTFIELDS, d->request.data());
    curl_easy_setopt(d->handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(d->request.size()));
    curl_easy_setopt(d->handle, CURLOPT_TIMEOUT_MS, static_cast<long>((d->settings.callLimit + extraTimeOf(d->call)).count()));
}

CURL *worker_exchange::handle() const
{
    return d->handle;
}

const run_call &worker_exchange::call() const
{
    return d->call;
}

// libcurl automatically retries a call if a reused connection turns out to be closed. One instance of the worker may receive a call twice; the next
// instance receives no start and no lease (see onConnected).
call_result worker_exchange::result(CURLcode result) const
{
    if (result == CURLE_ABORTED_BY_CALLBACK && d->connection == 0) {
        return call_result::unsent;
    }
    if (result == CURLE_COULDNT_CONNECT) {
        long osError = 0;
        curl_easy_getinfo(d->handle, CURLINFO_OS_ERRNO, &osError);
        return connectionFailure(osError);
    }
    long status = 0;
    curl_easy_getinfo(d->handle, CURLINFO_RESPONSE_CODE, &status);
    return result == CURLE_OK ? decodeResult(status, d->response) : call_result::unanswered;
}

// Other errors, such as a lack of local ports or descriptors or a timeout, say nothing about the worker, whose runs may go on.
call_result worker_exchange::connectionFailure(long osError)
{
    return osError == ECONNREFUSED ? call_result::unreachable : call_result::unanswered;
}

std::uint64_t worker_exchange::connection() const
{
    return d->connection;
}

const std::string &worker_exchange::body() const
{
    return d->response;
}

} // namespace teaselward
