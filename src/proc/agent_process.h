#pragma once

#include "log/decision_log.h"
#include "settings/agent_settings.h"

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
    /**
     * Starts all threads.
     * @param settings checked settings
     * @param log receiver of the log lines; it must outlive the process
     */
    agent_process(const agent_settings &settings, decision_log &log);
    ~agent_process();

    agent_process(const agent_process &) = delete;
    agent_process &operator=(const agent_process &) = delete;

    /** Begins the graceful shutdown. May be called from any thread and more than once. */
    void requestStop();

    /** Blocks until the graceful shutdown has ended. */
    void waitForStop();

private:
    std::unique_ptr<detail::agent_process_private> d;
};

} // namespace teaselward
