#include "http/endpoint_call.h"

#include "http/http_error.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>

namespace teaselward
{

namespace
{

// Header by which an endpoint that declines a task states that it did not run it.
constexpr const char *NotRunHeader = "Teaselward-Not-Run";

constexpr long FirstFinalStatus = 200;
constexpr long NoContent = 204;

// Write callback of libcurl, which collects the body of the response. Returning less than was offered makes libcurl abort the request.
std::size_t receiveBody(const char *data, std::size_t size, std::size_t count, void *self);

// Header callback of libcurl, called for each header line.
std::size_t receiveHeader(const char *data, std::size_t size, std::size_t count, void *self);

// Returns the value of a header of the final response; empty if there is none.
std::string_view headerOf(CURL *handle, const char *name)
{
    curl_header *header = nullptr;
    return curl_easy_header(handle, name, 0, CURLH_HEADER, -1, &header) == CURLHE_OK ? header->value : "";
}

// Checks whether a response states its end. Otherwise a response that a crash of the endpoint has truncated would look complete.
bool isFramed(CURL *handle, long status)
{
    curl_off_t length = -1;
    curl_easy_getinfo(handle, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T, &length);
    return status == NoContent || length >= 0 || headerOf(handle, "Transfer-Encoding") == "chunked";
}

// Builds the URL. The kind is escaped, because its name may contain any character.
std::string urlOf(CURL *handle, const std::string &address, const std::string &kind)
{
    char *escaped = curl_easy_escape(handle, kind.c_str(), static_cast<int>(kind.size()));
    if (escaped == nullptr) {
        throw std::system_error(http_error::clientFailed);
    }
    std::string url = "http://" + address + "/run/" + escaped;
    curl_free(escaped);
    return url;
}

std::string taskHeader(const task_id &id)
{
    return "Teaselward-Task: " + std::to_string(id.ticket.incarnation) + "-" + std::to_string(id.ticket.sequence) + "-" + std::to_string(id.index);
}

} // namespace

namespace detail
{

class endpoint_call_private
{
public:
    endpoint_call_private(const endpoint_client_settings &clientSettings, queued_call queuedCall)
        : settings(clientSettings)
        , queued(std::move(queuedCall))
        , handle(curl_easy_init())
    {
    }

    ~endpoint_call_private()
    {
        curl_easy_cleanup(handle);
        curl_slist_free_all(headers);
    }

    void addHeader(const std::string &line)
    {
        curl_slist *list = curl_slist_append(headers, line.c_str());
        if (list == nullptr) {
            throw std::system_error(http_error::clientFailed);
        }
        headers = list;
    }

    const endpoint_client_settings &settings;
    queued_call queued;
    CURL *handle;
    curl_slist *headers = nullptr;
    std::string body;
    bool headersComplete = false;
    bool resultTooLarge = false;
};

} // namespace detail

namespace
{

std::size_t receiveBody(const char *data, std::size_t size, std::size_t count, void *self)
{
    auto *call = static_cast<detail::endpoint_call_private *>(self);
    const std::size_t bytes = size * count;
    if (call->body.size() + bytes > call->settings.resultLimit) {
        call->resultTooLarge = true;
        return 0;
    }
    call->body.append(data, bytes);
    return bytes;
}

// Detects the end of the headers, because libcurl treats a connection that ends within the headers as an empty response.
std::size_t receiveHeader(const char *data, std::size_t size, std::size_t count, void *self)
{
    const std::string_view line(data, size * count);
    auto *call = static_cast<detail::endpoint_call_private *>(self);
    if (line.starts_with("HTTP/")) {
        call->headersComplete = false; // Another response follows an interim one.
    } else if (line == "\r\n" || line == "\n") {
        call->headersComplete = true;
    }
    return line.size();
}

} // namespace

endpoint_call::endpoint_call(const endpoint_client_settings &settings, queued_call queued, std::chrono::milliseconds timeLimit)
    : d(std::make_unique<detail::endpoint_call_private>(settings, std::move(queued)))
{
    if (d->handle == nullptr) {
        throw std::system_error(http_error::clientFailed);
    }
    d->addHeader(taskHeader(d->queued.call.id));
    d->addHeader("Content-Type: application/octet-stream");
    d->addHeader("Connection: close");
    d->addHeader("Expect:"); // A rejected expectation would make libcurl send the request again.

    CURL *handle = d->handle;
    const std::string &payload = d->queued.call.payload;
    curl_easy_setopt(handle, CURLOPT_PRIVATE, this);
    curl_easy_setopt(handle, CURLOPT_URL, urlOf(handle, settings.address, d->queued.call.kind).c_str());
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(handle, CURLOPT_PROXY, ""); // The environment of the process must not redirect tasks.
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, d->headers);
    curl_easy_setopt(handle, CURLOPT_POST, 1L);
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, payload.data());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(payload.size()));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &receiveBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, d.get());
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &receiveHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, d.get());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(std::min(settings.connectTimeout, timeLimit).count()));
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(timeLimit.count()));
    // libcurl automatically retries a request if a reused connection turns out to be closed. The endpoint may have read the
    // first one, so each request uses a new connection. That costs about 0.1 ms on the loopback address.
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
}

endpoint_call::~endpoint_call() = default;

CURL *endpoint_call::handle() const
{
    return d->handle;
}

const task_id &endpoint_call::task() const
{
    return d->queued.call.id;
}

call_completion endpoint_call::completion(CURLcode result)
{
    call_completion completion;
    curl_easy_getinfo(d->handle, CURLINFO_RESPONSE_CODE, &completion.status);
    completion.answered = result == CURLE_OK && d->headersComplete && completion.status >= FirstFinalStatus && isFramed(d->handle, completion.status);
    completion.resultTooLarge = d->resultTooLarge;
    // libcurl counts only the bytes that the operating system accepted, so zero proves that nothing was sent.
    long sent = 0;
    curl_easy_getinfo(d->handle, CURLINFO_REQUEST_SIZE, &sent);
    completion.bytesSent = static_cast<std::uint64_t>(sent);
    // Before the first byte was sent, the timeout may also be that of the connection attempt.
    completion.timedOut = result == CURLE_OPERATION_TIMEDOUT && (sent > 0 || mono_clock::now() >= d->queued.deadline);
    curl_off_t duration = 0;
    curl_easy_getinfo(d->handle, CURLINFO_TOTAL_TIME_T, &duration);
    completion.duration = std::chrono::microseconds(duration);
    completion.saysNotRun = headerOf(d->handle, NotRunHeader) == "1";
    if (completion.answered) {
        completion.body = std::move(d->body);
    } else if (d->resultTooLarge) {
        completion.body = "the result is above the limit";
    } else {
        completion.body = result == CURLE_OK ? "the response is not complete" : curl_easy_strerror(result);
    }
    return completion;
}

} // namespace teaselward
