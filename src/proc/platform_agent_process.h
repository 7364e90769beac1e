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
 * Agent beside a worker of the platform, which announces itself by heartbeats and may start anew at any time. Each life of the
 * worker is served by an agent of its own, with an incarnation of its own.
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
