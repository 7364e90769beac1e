#include "http/caller_request.h"

#include "http/http_error.h"

#include <algorithm>
#include <cstddef>
#include <system_error>
#include <utility>

namespace teaselward
{

namespace
{

// Connection timeout; short, so that another entry can be tried soon.
constexpr std::chrono::milliseconds ConnectTimeout = std::chrono::seconds(1);

std::size_t receive(const char *data, std::size_t size, std::size_t count, void *body)
{
    static_cast<std::string *>(body)->append(data, size * count);
    return size * count;
}

} // namespace

namespace detail
{

class caller_request_private
{
public:
    ~caller_request_private()
    {
        curl_easy_cleanup(handle);
        curl_slist_free_all(headers);
    }

    CURL *handle = nullptr;
    curl_slist *headers = nullptr;
    std::string request;
    std::string response;
};

} // namespace detail

caller_request::caller_request(const std::string &entry, const std::string &path, std::string body, std::chrono::milliseconds limit)
    : d(std::make_unique<detail::caller_request_private>())
{
    d->handle = curl_easy_init();
    d->headers = curl_slist_append(nullptr, "Content-Type: application/json");
    if (d->handle == nullptr || d->headers == nullptr) {
        throw std::system_error(http_error::clientFailed);
    }
    d->request = std::move(body);
    CURL *handle = d->handle;
    curl_easy_setopt(handle, CURLOPT_URL, ("http://" + entry + path).c_str());
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, d->headers);
    curl_easy_setopt(handle, CURLOPT_POST, 1L);
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, d->request.data());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(d->request.size()));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &receive);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &d->response);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    // For libcurl, zero means no limit.
    const auto atLeast = std::max(limit, std::chrono::milliseconds(1));
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(atLeast.count()));
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(std::min(atLeast, ConnectTimeout).count()));
}

caller_request::~caller_request() = default;

CURL *caller_request::handle() const
{
    return d->handle;
}

caller_response caller_request::result(CURLcode code)
{
    caller_response result;
    result.answered = code == CURLE_OK;
    curl_easy_getinfo(d->handle, CURLINFO_RESPONSE_CODE, &result.status);
    curl_off_t connectTime = 0;
    curl_easy_getinfo(d->handle, CURLINFO_CONNECT_TIME_T, &connectTime);
    result.connectTime = std::chrono::microseconds(connectTime);
    result.body = std::move(d->response);
    return result;
}

} // namespace teaselward
