#pragma once

#include "agent/run/call_result.h"
#include "agent/run/list_runs_result.h"
#include "agent/run/run_call.h"
#include "chain/chain_faults.h"
#include "chain/seeded_random.h"
#include "chain/simulated_worker.h"
#include "chain/virtual_timeline.h"
#include "chain/worker_channel.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>

namespace teaselward
{

/** Sends the calls of an agent to its worker. Some calls are lost or carried out late. */
class worker_transport
{
public:
    /** Receives the answer to a call; the lists are set only for list calls. */
    using answer_function = std::function<void(call_result result, const list_runs_result &lists)>;

    /**
     * Creates a transport.
     * @param worker the worker; must outlive the transport
     * @param faults shares of the calls with faults; must outlive the transport
     * @param timeline time of the simulation; must outlive the transport
     * @param random decisions of the simulation; must outlive the transport
     */
    worker_transport(simulated_worker &worker, const chain_faults &faults, virtual_timeline &timeline, seeded_random &random);

    /** Closes all connections, as for the client of another life of the worker. The adopted life is the current one. */
    void reconnect();

    /** @return number of idle connections that the adopted life has answered; unlimited if connections are not simulated */
    std::size_t idleConnections() const;

    /** @return number of list calls that will confirm a connection */
    std::size_t openingLists() const;

    /**
     * Sends a call.
     * @param call the call
     * @param answer called once, with the answer or after the time limit of calls
     */
    void send(const run_call &call, const answer_function &answer);

private:
    using channel_id = std::uint64_t;

    bool hasChannels() const;
    channel_id takeChannel(const run_call &call);
    void releaseChannel(channel_id channel, const run_call &call, call_result result, const list_runs_result &lists);
    void deliver(const run_call &call, channel_id channel, const answer_function &answer);
    void execute(const run_call &call, const answer_function &answer);

    simulated_worker &m_worker;
    const chain_faults &m_faults;
    virtual_timeline &m_timeline;
    seeded_random &m_random;
    std::map<channel_id, worker_channel> m_channels;
    channel_id m_lastChannel = 0;
    std::chrono::milliseconds m_adopted{}; ///< Start of the life that the agent has adopted.
};

} // namespace teaselward
