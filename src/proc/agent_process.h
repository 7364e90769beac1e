#pragma once

#include "agent/agent_core_settings.h"
#include "agent/agent_event.h"
#include "agent/endpoint_port.h"
#include "base/bounded_ring.h"
#include "base/clock.h"
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

/** Agent process: owns its threads and the rings between them. */
class agent_process
{
public:
    /** Creates the endpoint adapter, which pushes its events into the given ring. */
    using endpoint_factory = std::function<std::unique_ptr<endpoint_port>(bounded_ring<agent_event> &events)>;

    /** Gets the run time factor of the endpoint with each answer to a start, on the decision thread. */
    using factor_observer = std::function<void(double factor)>;

    /**
     * Starts all threads.
     * @param settings checked settings
     * @param log receiver of the log lines; it must outlive the process
     */
    agent_process(const agent_settings &settings, logger &log);

    /**
     * Starts all threads with an endpoint adapter of the caller's choice.
     * @param settings checked settings
     * @param core settings of the agent core, including the announcement of the agent
     * @param makeEndpoint creates the endpoint adapter
     * @param log receiver of the log lines; it must outlive the process
     * @param observeFactor gets the run time factor; may be empty
     */
    agent_process(
        const agent_settings &settings, const agent_core_settings &core, const endpoint_factory &makeEndpoint, logger &log, factor_observer observeFactor = {});
    ~agent_process();

    agent_process(const agent_process &) = delete;
    agent_process &operator=(const agent_process &) = delete;

    /** Begins the graceful shutdown. May be called from any thread and more than once. */
    void requestStop();

    /**
     * Begins the graceful shutdown with a time limit other than that of the settings.
     * @param bound longest time until the shutdown has ended
     */
    void requestStop(std::chrono::milliseconds bound);

    /**
     * Reports that the resources of the endpoint have changed. May be called from any thread.
     * @param capacity new resources
     */
    void changeCapacity(const task_resources &capacity);

    /**
     * Reports that the endpoint has announced its stop, before which the agent drains. May be called from any thread.
     * @param stopsAt earliest time at which the endpoint stops
     */
    void announceStop(mono_time stopsAt);

    /**
     * Reports the end of the warm-up of a cold endpoint. May be called from any thread.
     * @param warmAt time from which the endpoint runs tasks at its full speed
     */
    void announceWarmUp(mono_time warmAt);

    /** Blocks until the graceful shutdown has ended. */
    void waitForStop();

private:
    std::unique_ptr<detail::agent_process_private> d;
};

} // namespace teaselward
