#pragma once

#include "http/call_completion.h"
#include "http/endpoint_client_settings.h"
#include "http/queued_call.h"

#include <curl/curl.h>

#include <memory>

namespace teaselward
{

namespace detail
{
class endpoint_call_private;
}

/** One HTTP request to the endpoint. */
class endpoint_call
{
public:
    /**
     * Prepares the request.
     * @param settings settings of the calls; they must outlive the object
     * @param queued the call
     * @param timeLimit time left until the call's deadline; above zero
     * @throws std::system_error with http_error::clientFailed if libcurl cannot prepare the request
     */
    endpoint_call(const endpoint_client_settings &settings, queued_call queued, std::chrono::milliseconds timeLimit);
    ~endpoint_call();

    endpoint_call(const endpoint_call &) = delete;
    endpoint_call &operator=(const endpoint_call &) = delete;

    /** @return handle for the multi interface of libcurl; its private pointer is this object */
    CURL *handle() const;

    /** @return task that the call runs */
    const task_id &task() const;

    /**
     * Returns the result after the end of the request.
     * @param result result that libcurl reported
     * @return the result of the call; the body is moved out of the object
     */
    call_completion completion(CURLcode result);

private:
    std::unique_ptr<detail::endpoint_call_private> d;
};

} // namespace teaselward
