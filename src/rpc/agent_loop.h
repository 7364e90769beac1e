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

/** Event loop of an agent's RPC adapter. It is created, run and destroyed by one thread. */
class agent_loop
{
public:
    /**
     * Creates the loop; run() starts it.
     * @param settings settings of the connections; they must outlive the loop
     * @param events ring of the decision thread
     * @param commands ring of the actions to carry out
     * @param wake signalled by the waker of the command ring
     * @param traffic byte counter of the adapter
     * @param log receiver of the log lines
     * @param io event loop of the KJ library
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

    /** Runs until the command ring is closed and empty, then sends what is queued. */
    void run();

private:
    std::unique_ptr<detail::agent_loop_private> d;
};

} // namespace teaselward
