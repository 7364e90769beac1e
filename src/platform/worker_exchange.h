#pragma once

#include "agent/run/call_result.h"
#include "agent/run/run_call.h"
#include "platform/worker_client_settings.h"

#include <curl/curl.h>

#include <memory>
#include <string>

namespace teaselward
{

namespace detail
{
class worker_exchange_private;
}

/** One call to a worker over HTTP, from its request to its answer. It can be used again for another call. */
class worker_exchange
{
public:
    /**
     * Creates an exchange.
     * @param settings settings of the client; they must outlive the exchange
     * @throws std::system_error if the library cannot create a handle
     */
    explicit worker_exchange(const worker_client_settings &settings);
    ~worker_exchange();

    worker_exchange(const worker_exchange &) = delete;
    worker_exchange &operator=(const worker_exchange &) = delete;

    /**
     * Prepares a call.
     * @param call the call
     */
    void prepare(run_call call);

    /** @return handle of the library, owned by the exchange */
    CURL *handle() const;

    /** @return the call */
    const run_call &call() const;

    /**
     * Reads the answer.
     * @param result result of the library
     * @return how the worker answered
     */
    call_result result(CURLcode result) const;

    /** @return body of the answer */
    const std::string &body() const;

private:
    std::unique_ptr<detail::worker_exchange_private> d;
};

} // namespace teaselward
