#pragma once

#include "agent/run/call_result.h"
#include "agent/run/run_call.h"
#include "platform/worker_client_settings.h"
#include "platform/worker_connections.h"

#include <curl/curl.h>

#include <cstdint>
#include <memory>
#include <string>

namespace teaselward
{

namespace detail
{
class worker_exchange_private;
}

/** One HTTP call to a worker, from its request to its response. It can be reused for another call. */
class worker_exchange
{
public:
    /**
     * Creates an exchange.
     * @param settings settings of the client; they must outlive the exchange
     * @param connections connections of the client; they must outlive the exchange and all connections that libcurl opens for it
     * @throws std::system_error if libcurl cannot create a handle
     */
    worker_exchange(const worker_client_settings &settings, worker_connections &connections);
    ~worker_exchange();

    worker_exchange(const worker_exchange &) = delete;
    worker_exchange &operator=(const worker_exchange &) = delete;

    /**
     * Prepares a call.
     * @param call the call
     */
    void prepare(run_call call);

    /** @return libcurl handle, owned by the exchange */
    CURL *handle() const;

    /** @return the call */
    const run_call &call() const;

    /**
     * Evaluates the response.
     * @param result result that libcurl reported
     * @return result of the call
     */
    call_result result(CURLcode result) const;

    /**
     * Evaluates a connection that could not be made.
     * @param osError error number of the system call that failed
     * @return unreachable if the connection was refused, so that nothing listens at the address; otherwise unanswered
     */
    static call_result connectionFailure(long osError);

    /** @return identifier of the connection that the call was sent through last; zero if it was not sent */
    std::uint64_t connection() const;

    /** @return body of the response */
    const std::string &body() const;

private:
    std::unique_ptr<detail::worker_exchange_private> d;
};

} // namespace teaselward
