#include "platform/http_platform_log.h"

#include "platform/platform_error.h"
#include "platform/platform_log_codec.h"

#include <curl/curl.h>

#include <algorithm>
#include <iterator>
#include <new>
#include <string>
#include <utility>

namespace teaselward
{

namespace detail
{

class http_platform_log_private
{
public:
    http_platform_log_settings settings;
    CURL *handle = nullptr;
    std::string response;

    std::error_code perform(const std::string &path, std::chrono::milliseconds timeout, long &status);
    std::error_code translate(CURLcode result) const;
    std::string escape(const std::string &text) const;
    std::error_code append(const std::string &path, std::string_view body, std::chrono::milliseconds timeout, std::uint64_t &offset);

    static std::size_t receive(const char *data, std::size_t size, std::size_t count, void *self);
};

// Write callback of libcurl, which collects the body of the response. Returning less than was offered makes libcurl end the transfer
// with a write error.
std::size_t http_platform_log_private::receive(const char *data, std::size_t size, std::size_t count, void *self)
{
    auto *client = static_cast<http_platform_log_private *>(self);
    if (client->response.size() + size * count > client->settings.responseLimit) {
        return 0;
    }
    client->response.append(data, size * count);
    return size * count;
}

// An error before the request was sent proves that nothing was appended; after a later one an append may have taken effect.
std::error_code http_platform_log_private::translate(CURLcode result) const
{
    switch (result) {
    case CURLE_OK:
        return {};
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
        return platform_error::rejected;
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_COULDNT_CONNECT:
        return platform_error::unavailable;
    case CURLE_WRITE_ERROR:
        return platform_error::tooLarge;
    default:
        break;
    }
    curl_off_t connected = 0;
    curl_easy_getinfo(handle, CURLINFO_PRETRANSFER_TIME_T, &connected);
    return connected == 0 ? platform_error::unavailable : platform_error::responseLost;
}

// Escapes a key for a query. Keys may contain any bytes.
std::string http_platform_log_private::escape(const std::string &text) const
{
    char *escaped = curl_easy_escape(handle, text.data(), static_cast<int>(text.size()));
    std::string result = escaped != nullptr ? escaped : "";
    curl_free(escaped);
    return result;
}

// Sends the request that the caller has prepared, with the options that all requests share.
std::error_code http_platform_log_private::perform(const std::string &path, std::chrono::milliseconds timeout, long &status)
{
    response.clear();
    const std::string url = settings.url + path;
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(settings.connectTimeout.count()));
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &http_platform_log_private::receive);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, this);
    const CURLcode result = curl_easy_perform(handle);
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    return translate(result);
}

namespace
{

constexpr long StatusOk = 200;
constexpr long StatusGone = 410;
constexpr long StatusTooLarge = 413;
constexpr long StatusTooManyRequests = 429;
constexpr long StatusUnavailable = 503;

constexpr std::string_view AppendPath = "/teaselward/log-append";
constexpr std::string_view ReadPath = "/teaselward/log-read";
constexpr std::string_view NewestPath = "/teaselward/log-newest";

// Streams and the topics of the operators have one partition.
std::string topicPath(std::string_view call, std::string_view topic, std::uint32_t part = 0)
{
    return std::string(call) + "?Topic=" + std::string(topic) + "&part=" + std::to_string(part);
}

// Maps an HTTP status to an error. After other server errors it is unknown whether the request took effect.
std::error_code statusError(long status)
{
    switch (status) {
    case StatusOk:
        return {};
    case StatusGone:
        return platform_error::belowRetention;
    case StatusTooLarge:
        return platform_error::tooLarge;
    case StatusTooManyRequests:
    case StatusUnavailable:
        return platform_error::unavailable;
    default:
        return status >= 400 && status < 500 ? platform_error::rejected : platform_error::badResponse;
    }
}

} // namespace

// Appends one record.
std::error_code http_platform_log_private::append(const std::string &path, std::string_view body, std::chrono::milliseconds timeout, std::uint64_t &offset)
{
    // Suppresses the 'Expect' header of libcurl, which would cost a round trip for large bodies.
    curl_slist *headers = curl_slist_append(nullptr, "Expect:");
    headers = curl_slist_append(headers, "Content-Type: application/octet-stream");
    curl_easy_reset(handle);
    // libcurl automatically retries a request if a reused connection turns out to be closed. Whether an append is retried is the
    // caller's decision, so each append uses a new connection.
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(handle, CURLOPT_POST, 1L);
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
    const std::string record = encodeRecord(body);
    curl_easy_setopt(handle, CURLOPT_POSTFIELDS, record.data());
    curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(record.size()));
    long status = 0;
    std::error_code error = perform(path, timeout, status);
    curl_slist_free_all(headers);
    if (!error) {
        error = statusError(status);
    }
    if (!error && !decodeAppendResponse(response, offset)) {
        error = platform_error::badResponse;
    }
    return error;
}

} // namespace detail

http_platform_log::http_platform_log(http_platform_log_settings settings)
    : d(std::make_unique<detail::http_platform_log_private>())
{
    d->settings = std::move(settings);
    d->handle = curl_easy_init();
    if (d->handle == nullptr) {
        throw std::bad_alloc();
    }
}

http_platform_log::~http_platform_log()
{
    curl_easy_cleanup(d->handle);
}

std::error_code http_platform_log::append(std::string_view stream, std::string_view body, std::chrono::milliseconds timeout, std::uint64_t &offset)
{
    return d->append(detail::topicPath(detail::AppendPath, stream), body, timeout, offset);
}

std::error_code http_platform_log::appendKeyed(std::string_view topic, std::uint32_t part, const keyed_record &record, std::chrono::milliseconds timeout)
{
    std::uint64_t offset = 0;
    return d->append(detail::topicPath(detail::AppendPath, topic, part), encodeKeyedRecord(record), timeout, offset);
}

std::error_code http_platform_log::read(std::string_view stream, std::uint64_t from, std::chrono::milliseconds wait, log_page &page)
{
    page = {};
    curl_easy_reset(d->handle);
    const std::string path = detail::topicPath(detail::ReadPath, stream) + "&From=" + std::to_string(from - 1) + "&WaitMs=" + std::to_string(wait.count());
    long status = 0;
    std::error_code error = d->perform(path, wait + d->settings.readTimeout, status);
    if (!error) {
        error = detail::statusError(status);
    }
    const bool isMalformed
        = (!error && !decodePage(d->response, from, page)) || (error == platform_error::belowRetention && !decodeBelowRetention(d->response, page.first));
    return isMalformed ? platform_error::badResponse : error;
}

std::error_code http_platform_log::newest(std::string_view topic, std::uint32_t part, std::chrono::milliseconds timeout, keyed_page &all)
{
    all = {};
    keyed_page page;
    page.hasMore = true;
    while (page.hasMore) {
        curl_easy_reset(d->handle);
        std::string path = detail::topicPath(detail::NewestPath, topic, part);
        if (!all.lastKey.empty()) {
            path += "&DependsOn=" + d->escape(all.lastKey); // The store's parameter for the last key of the previous page.
        }
        long status = 0;
        std::error_code error = d->perform(path, timeout, status);
        if (!error) {
            error = detail::statusError(status);
        }
        if (error) {
            return error;
        }
        // A read() from the end of the first page on returns the records that are appended while the pages are read.
        if (!decodeNewestRecords(d->response, page) || (page.hasMore && page.lastKey == all.lastKey)) {
            return platform_error::badResponse;
        }
        std::ranges::move(page.records, std::back_inserter(all.records));
        std::ranges::move(page.unreadable, std::back_inserter(all.unreadable));
        all.next = all.next == 0 ? page.next : all.next;
        all.ignored += page.ignored;
        all.lastKey = page.lastKey;
    }
    return {};
}

} // namespace teaselward
