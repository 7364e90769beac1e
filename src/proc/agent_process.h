#pragma once

#include "agent/agent_core_settings.h"
#include "agent/agent_event.h"
#include "agent/endpoint_port.h"
#include "base/bounded_ring.h"
#include "log/logger.h"
#include "settings/agent_settings.h"

#include <chrono>
#include <functional>
#include <memory>

namespace teaselward
{

namespace detail
{
class agent_process_private;
}

/** Threads and rings of an agent. */
class agent_process
{
public:
    /** Makes the adapter of the endpoint, which reports to the given ring. */
    using endpoint_factory = std::function<std::unique_ptr<endpoint_port>(bounded_ring<agent_event> &events)>;

    /**
     * Starts all threads.
     * @param settings checked settings
     * @param log receiver of the log lines; it must outlive the process
     */
    agent_process(const agent_settings &settings, logger &log);

    /**
     * Starts all threads for another kind of endpoint.
     * @param settings checked settings
     * @param core what the decisions are told, the announcement of the agent included
     * @param makeEndpoint makes the adapter of the endpoint
     * @param log receiver of the log lines; it must outlive the process
     */
    agent_process(const agent_settings &settings, const agent_core_settings &core, const endpoint_factory &makeEndpoint, logger &log);
    ~agent_process();

    agent_process(const agent_process &) = delete;
    agent_process &operator=(const agent_process &) = delete;

    /** Begins the graceful shutdown. May be called from any thread and more than once. */
    void requestStop();

    /**
     * As above with another bound.
     * @param bound longest time until the shutdown has ended
     */
    void requestStop(std::chrono::milliseconds bound);

    /** Blocks until the graceful shutdown has ended. */
    void waitForStop();

private:
    std::unique_ptr<detail::agent_process_private> d;
};

} // namespace teaselward
