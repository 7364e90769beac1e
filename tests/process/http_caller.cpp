#include "process/http_caller.h"

#include <curl/curl.h>

namespace teaselward::testing
{

namespace
{

std::size_t collect(char *data, std::size_t size, std::size_t count, void *text)
{
    static_cast<std::string *>(text)->append(data, size * count);
    return size * count;
}

json_response perform(CURL *handle, const std::string &url, std::chrono::milliseconds timeout)
{
    std::string text;
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &collect);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &text);
    json_response reply;
    if (curl_easy_perform(handle) == CURLE_OK) {
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &reply.status);
        reply.body = nlohmann::json::parse(text, nullptr, false);
    }
    curl_easy_cleanup(handle);
    return reply;
}

} // namespace

json_response post(const std::string &url, const nlohmann::json &body, std::chrono::milliseconds timeout)
{
    CURL *handle = curl_easy_init();
    const std::string text = body.dump();
    curl_easy_setopt(handle, CURLOPT_COPYPOSTFIELDS, text.c_str());
    return perform(handle, url, timeout);
}

json_response put(const std::string &url, const nlohmann::json &body)
{
    constexpr std::chrono::seconds timeout{1};
    CURL *handle = curl_easy_init();
    const std::string text = body.dump();
    curl_easy_setopt(handle, CURLOPT_COPYPOSTFIELDS, text.c_str());
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, "PUT");
    return perform(handle, url, timeout);
}

json_response get(const std::string &url)
{
    constexpr std::chrono::seconds timeout{10};
    return perform(curl_easy_init(), url, timeout);
}

} // namespace teaselward::testing
