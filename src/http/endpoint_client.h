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
 * HTTP client of an agent for its endpoint: POST /run/KIND with the payload as body. One thread runs all calls. A call
 * ends as not started only if no byte of the request was sent or the endpoint says that it did not run the task.
 */
class endpoint_client : public endpoint_port
{
public:
    /**
     * Starts the thread.
     * @param settings settings of the calls
     * @param events ring of the decision thread, which gets call_finished
     * @param log logger; it must outlive the client
     */
    endpoint_client(const endpoint_client_settings &settings, bounded_ring<agent_event> &events, logger &log);
    ~endpoint_client() override;

    endpoint_client(const endpoint_client &) = delete;
    endpoint_client &operator=(const endpoint_client &) = delete;

    /**
     * Posts a call to the thread.
     * @param call the call; moved from only if it was accepted
     * @return false if the ring is full or the client has stopped; then the task was not started
     */
    bool post(call_endpoint &&call) override;

    /**
     * Does nothing: the protocol of the endpoints has no message that stops a call, and its tasks are not restartable.
     * @param stop the task
     * @return true
     */
    bool post(const stop_call &stop) override;

    /**
     * Does nothing: the tasks of these endpoints do not end with their home entry.
     * @param home the session
     * @return true
     */
    bool post(const confirm_home &home) override;

    /** Waits for calls in progress and ends the thread. */
    void stop() override;

private:
    std::unique_ptr<detail::endpoint_client_private> d;
};

} // namespace teaselward
