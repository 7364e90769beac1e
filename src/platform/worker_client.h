#pragma once

#include "agent/agent_event.h"
#include "agent/endpoint_port.h"
#include "base/bounded_ring.h"
#include "log/logger.h"
#include "metrics/run_metrics.h"
#include "platform/worker_client_settings.h"

#include <functional>
#include <memory>

namespace teaselward
{

namespace detail
{
class worker_client_private;
}

/**
 * Client of one life of the worker beside an agent. Its thread carries the calls of a run_supervisor to the worker and the
 * answers back.
 */
class worker_client : public endpoint_port
{
public:
    /**
     * Starts the thread, which first clears the worker of runs that others started.
     * @param settings address and bounds
     * @param onReady called once by the thread when the worker takes starts
     * @param onLost called once by the thread when this life has ended
     * @param metrics receiver of the ends and the unanswered calls; it must outlive the client
     * @param log receiver of the log lines; it must outlive the client
     */
    worker_client(const worker_client_settings &settings, std::function<void()> onReady, std::function<void()> onLost, run_metrics &metrics, logger &log);
    ~worker_client() override;

    worker_client(const worker_client &) = delete;
    worker_client &operator=(const worker_client &) = delete;

    /**
     * Sets where the ends of runs are reported. It must be called before the first order.
     * @param events ring of the decision thread; it must outlive the client
     */
    void connect(bounded_ring<agent_event> &events);

    bool post(call_endpoint &&call) override;
    bool post(const stop_call &stop) override;
    void stop() override;

private:
    std::unique_ptr<detail::worker_client_private> d;
};

} // namespace teaselward
