#pragma once

#include "http/caller_response.h"

#include <curl/curl.h>

#include <chrono>
#include <memory>
#include <string>

namespace teaselward
{

namespace detail
{
class caller_request_private;
}

/** One POST request of a caller to an entry. */
class caller_request
{
public:
    /**
     * Prepares the request.
     * @param entry address of the entry as IP:PORT
     * @param path path of the request
     * @param body JSON text
     * @param limit maximum time until the response is complete
     * @throws std::system_error with http_error::clientFailed if libcurl cannot create a handle
     */
    caller_request(const std::string &entry, const std::string &path, std::string body, std::chrono::milliseconds limit);
    ~caller_request();

    caller_request(const caller_request &) = delete;
    caller_request &operator=(const caller_request &) = delete;

    /** @return libcurl handle, owned by the request */
    CURL *handle() const;

    /**
     * Returns the response after the end of the request.
     * @param code result that libcurl reported
     * @return the response; its body is moved out of the object
     */
    caller_response result(CURLcode code);

private:
    std::unique_ptr<detail::caller_request_private> d;
};

} // namespace teaselward
