#pragma once

#include "log/logger.h"
#include "settings/agent_settings.h"

#include <memory>

namespace teaselward
{

namespace detail
{
class platform_agent_process_private;
}

/**
 * Agent process for a worker of the platform. The worker announces itself by heartbeats and may restart at any time. Each
 * instance of the worker is served by a new agent with a new incarnation.
 */
class platform_agent_process
{
public:
    /**
     * Starts all threads.
     * @param settings checked settings
     * @param log receiver of the log lines; it must outlive the process
     * @throws std::system_error if the listener for heartbeats cannot be opened
     */
    platform_agent_process(const agent_settings &settings, logger &log);
    ~platform_agent_process();

    platform_agent_process(const platform_agent_process &) = delete;
    platform_agent_process &operator=(const platform_agent_process &) = delete;

    /** Begins the graceful shutdown. May be called from any thread and more than once. */
    void requestStop();

    /** Blocks until the graceful shutdown has ended. */
    void waitForStop();

private:
    std::unique_ptr<detail::platform_agent_process_private> d;
};

} // namespace teaselward
