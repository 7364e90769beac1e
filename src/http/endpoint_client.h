#pragma once

#include "agent/agent_event.h"
#include "agent/endpoint_port.h"
#include "base/bounded_ring.h"
#include "http/endpoint_client_settings.h"
#include "log/logger.h"

#include <memory>

namespace teaselward
{

namespace detail
{
class endpoint_client_private;
}

/**
 * HTTP adapter of an agent towards its endpoint: POST /run/KIND with the payload as body. One thread runs all calls. A call
 * ends as not started only if no byte of the request was sent.
 */
class endpoint_client : public endpoint_port
{
public:
    /**
     * Starts the thread.
     * @param settings settings of the calls
     * @param events ring of the decision thread, which gets call_finished
     * @param log receiver of the log lines; it must outlive the adapter
     */
    endpoint_client(const endpoint_client_settings &settings, bounded_ring<agent_event> &events, logger &log);
    ~endpoint_client() override;

    endpoint_client(const endpoint_client &) = delete;
    endpoint_client &operator=(const endpoint_client &) = delete;

    /**
     * Starts a call.
     * @param call the call; moved from only if it was taken
     * @return false if the ring is full or the adapter has stopped; then the task was not started
     */
    bool post(call_endpoint &&call) override;

    /**
     * Does nothing: the protocol of the endpoints has no message that ends a call, and its tasks are not restartable.
     * @param stop the task
     * @return true
     */
    bool post(const stop_call &stop) override;

    /** Waits for calls in progress and ends the thread. */
    void stop() override;

private:
    std::unique_ptr<detail::endpoint_client_private> d;
};

} // namespace teaselward
