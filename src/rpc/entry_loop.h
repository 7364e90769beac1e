#pragma once

#include "base/bounded_ring.h"
#include "base/wake_fd.h"
#include "job/entry_action.h"
#include "job/entry_event.h"
#include "log/logger.h"
#include "rpc/entry_rpc_settings.h"
#include "rpc/listen_socket.h"
#include "rpc/traffic_counter.h"

#include <kj/async-io.h>

#include <memory>

namespace teaselward
{

namespace detail
{
class entry_loop_private;
}

/** Event loop of an entry's RPC adapter. It is created, run and destroyed by one thread. */
class entry_loop
{
public:
    /**
     * Creates the loop; run() starts it.
     * @param settings settings of the connections; they must outlive the loop
     * @param listener socket that agents and entries connect to
     * @param events ring of the decision thread
     * @param commands ring of the actions to carry out
     * @param wake signalled by the waker of the command ring
     * @param traffic byte counter of the adapter
     * @param log receiver of the log lines
     * @param io event loop of the KJ library
     */
    entry_loop(const entry_rpc_settings &settings,
               const listen_socket &listener,
               bounded_ring<entry_event> &events,
               bounded_ring<entry_action> &commands,
               wake_fd &wake,
               traffic_counter &traffic,
               logger &log,
               kj::AsyncIoContext &io);
    ~entry_loop();

    entry_loop(const entry_loop &) = delete;
    entry_loop &operator=(const entry_loop &) = delete;

    /** Runs until the command ring is closed and empty, then sends what is queued. */
    void run();

private:
    std::unique_ptr<detail::entry_loop_private> d;
};

} // namespace teaselward
