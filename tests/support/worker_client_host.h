#pragma once

#include "agent/agent_event.h"
#include "agent/event/call_finished.h"
#include "base/bounded_ring.h"
#include "log/null_logger.h"
#include "metrics/run_metrics.h"
#include "platform/worker_client.h"
#include "support/worker_stub.h"

#include <absl/synchronization/notification.h>

#include <chrono>
#include <cstdint>
#include <vector>

namespace teaselward
{

/** Client of the current life of a worker stub, with orders of tasks and the ends that it reports. */
class worker_client_host
{
public:
    /**
     * Starts the client.
     * @param worker the worker; must outlive the object
     * @param address address of the worker as IP:PORT
     * @param fencingToken token of the client; higher than those of earlier clients
     */
    worker_client_host(const worker_stub &worker, const std::string &address, std::uint64_t fencingToken);

    /**
     * Waits until the worker accepts starts.
     * @return false on timeout
     */
    bool waitUntilReady();

    /**
     * Waits until the client reports the end of the worker's life.
     * @return false on timeout
     */
    bool waitUntilLost();

    /**
     * Orders a task.
     * @param index position of the task in its job; different for each task
     * @param length time that the task runs
     */
    void order(std::uint32_t index, std::chrono::milliseconds length);

    /** @return ends reported since the last call */
    std::vector<call_finished> takeEnds();

private:
    null_logger m_log;
    run_metrics m_metrics;
    bounded_ring<agent_event> m_events{256};
    absl::Notification m_ready;
    absl::Notification m_lost;
    worker_client m_client;
};

} // namespace teaselward
