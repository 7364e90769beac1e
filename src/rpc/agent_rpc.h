#pragma once

#include "agent/agent_action.h"
#include "agent/agent_event.h"
#include "base/bounded_ring.h"
#include "log/logger.h"
#include "rpc/agent_rpc_settings.h"
#include "rpc/rpc_traffic.h"

#include <memory>

namespace teaselward
{

namespace detail
{
class agent_rpc_private;
}

/**
 * Cap'n Proto RPC adapter of an agent: connects to every entry, registers there, turns the entries' calls into events and sends
 * the core's actions as answers and messages. It makes no decisions. One thread runs the event loop.
 */
class agent_rpc
{
public:
    /**
     * Starts the thread.
     * @param settings settings of the connections
     * @param events ring of the decision thread; the adapter blocks, and so stops reading, while it is full
     * @param log receiver of the log lines; it must outlive the adapter
     */
    agent_rpc(const agent_rpc_settings &settings, bounded_ring<agent_event> &events, logger &log);
    ~agent_rpc();

    agent_rpc(const agent_rpc &) = delete;
    agent_rpc &operator=(const agent_rpc &) = delete;

    /**
     * Queues an action: answer_start, answer_revoke, answer_fence, grant_credits, announce_leaving, report_crash, report_interference or
     * end_sessions.
     * @param action the action; moved from only if the ring accepts it
     * @return false if the ring is full or the adapter has stopped
     */
    bool post(agent_action &&action);

    /**
     * Sends what is queued, closes all connections and ends the thread. Connections that end meanwhile still raise events. The
     * event ring must be closed or still be read, because the thread may be waiting for room in it.
     */
    void stop();

    /** @return bytes of all connections since the start */
    rpc_traffic traffic() const;

private:
    std::unique_ptr<detail::agent_rpc_private> d;
};

} // namespace teaselward
