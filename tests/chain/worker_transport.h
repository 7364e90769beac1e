#pragma once

#include "agent/run/call_result.h"
#include "agent/run/list_runs_result.h"
#include "agent/run/run_call.h"
#include "chain/chain_faults.h"
#include "chain/seeded_random.h"
#include "chain/simulated_worker.h"
#include "chain/virtual_timeline.h"

#include <chrono>
#include <functional>

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

    /**
     * Sends a call.
     * @param call the call
     * @param answer called once, with the answer or after the time limit of calls
     */
    void send(const run_call &call, const answer_function &answer);

private:
    void execute(const run_call &call, const answer_function &answer);

    simulated_worker &m_worker;
    const chain_faults &m_faults;
    virtual_timeline &m_timeline;
    seeded_random &m_random;
};

} // namespace teaselward
