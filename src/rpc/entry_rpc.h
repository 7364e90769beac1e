#pragma once

#include "base/bounded_ring.h"
#include "job/entry_action.h"
#include "job/entry_event.h"
#include "log/logger.h"
#include "rpc/entry_rpc_settings.h"
#include "rpc/rpc_traffic.h"

#include <memory>
#include <string>

namespace teaselward
{

namespace detail
{
class entry_rpc_private;
}

/**
 * Cap'n Proto RPC adapter of an entry: listens for agents and other entries, connects to the known entries, and turns messages
 * into events and actions into messages. It makes no decisions. One thread runs the event loop.
 */
class entry_rpc
{
public:
    /**
     * Opens the listener and starts the thread.
     * @param settings settings of the connections
     * @param events ring of the decision thread; the adapter blocks, and so stops reading, while it is full
     * @param log receiver of the log lines; it must outlive the adapter
     * @throws std::system_error if the listener cannot be opened
     */
    entry_rpc(const entry_rpc_settings &settings, bounded_ring<entry_event> &events, logger &log);
    ~entry_rpc();

    entry_rpc(const entry_rpc &) = delete;
    entry_rpc &operator=(const entry_rpc &) = delete;

    /**
     * Queues a message to send, or the answer to a request that came from a peer.
     * @param action the action; moved from only if the ring accepts it
     * @return false if the ring is full or the adapter has stopped
     */
    bool post(entry_action &&action);

    /**
     * Sends what is queued, closes all connections and ends the thread. Connections that end meanwhile still raise events. The
     * event ring must be closed or still be read, because the thread may be waiting for room in it.
     */
    void stop();

    /** @return IP:PORT that the adapter listens on, with the port that the system chose if the settings give port 0 */
    const std::string &address() const;

    /** @return bytes of all connections since the start */
    rpc_traffic traffic() const;

private:
    std::unique_ptr<detail::entry_rpc_private> d;
};

} // namespace teaselward
