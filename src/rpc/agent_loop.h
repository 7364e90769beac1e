#pragma once

#include "agent/agent_action.h"
#include "agent/agent_event.h"
#include "base/bounded_ring.h"
#include "base/wake_fd.h"
#include "log/logger.h"
#include "rpc/agent_rpc_settings.h"
#include "rpc/traffic_counter.h"

#include <kj/async-io.h>

#include <memory>

namespace teaselward
{

namespace detail
{
class agent_loop_private;
}

/** Event loop of the adapter of an agent. It lives on the thread that runs it. */
class agent_loop
{
public:
    /**
     * Prepares the loop.
     * @param settings settings of the connections; they must outlive the loop
     * @param events ring of the decision thread
     * @param commands ring with the actions
     * @param wake signalled by the waker of the commands
     * @param traffic counter of the adapter
     * @param log receiver of the log lines
     * @param io event loop of the library
     */
    agent_loop(const agent_rpc_settings &settings,
               bounded_ring<agent_event> &events,
               bounded_ring<agent_action> &commands,
               wake_fd &wake,
               traffic_counter &traffic,
               logger &log,
               kj::AsyncIoContext &io);
    ~agent_loop();

    agent_loop(const agent_loop &) = delete;
    agent_loop &operator=(const agent_loop &) = delete;

    /** Runs until the ring of the commands is closed and empty, then sends what is queued. */
    void run();

private:
    std::unique_ptr<detail::agent_loop_private> d;
};

} // namespace teaselward
