#pragma once

#include "http/http_listener_settings.h"
#include "http/request_handler.h"
#include "log/logger.h"

#include <cstdint>
#include <memory>
#include <string>

namespace teaselward
{

namespace detail
{
class http_listener_private;
}

/** HTTP listener with one thread. A request that waits for its answer occupies its connection but no thread. */
class http_listener
{
public:
    /**
     * Opens the listener and starts its thread.
     * @param settings settings of the listener
     * @param handler receiver of the requests; it must outlive the listener
     * @param log logger; it must outlive the listener
     * @throws std::system_error if the listener cannot be opened
     */
    http_listener(const http_listener_settings &settings, request_handler &handler, logger &log);
    ~http_listener();

    http_listener(const http_listener &) = delete;
    http_listener &operator=(const http_listener &) = delete;

    /** @return address to which the listener is bound, as IP:PORT */
    const std::string &address() const;

    /** @return number of open connections */
    std::int64_t connections() const;

    /** Closes each connection after its next response, so that clients reconnect to other processes. Any thread may call it. */
    void closeAfterResponses();

    /** Stops accepting connections. */
    void quiesce();

    /** Sends the responses that are set and closes all connections. No connection may be suspended when it is called. */
    void stop();

private:
    std::unique_ptr<detail::http_listener_private> d;
};

} // namespace teaselward
