#pragma once

#include "agent/agent_event.h"
#include "agent/endpoint_port.h"
#include "base/bounded_ring.h"
#include "log/logger.h"
#include "metrics/run_metrics.h"
#include "platform/worker_client_settings.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace teaselward
{

namespace detail
{
class worker_client_private;
}

/**
 * Client of one instance of the worker on the agent's machine; a restarted worker is a new instance. Its thread sends the calls of a
 * run_supervisor to the worker and passes the responses back.
 */
class worker_client : public endpoint_port
{
public:
    /**
     * Starts the thread, which first stops the runs at the worker that others have started.
     * @param settings address and limits
     * @param onReady called once on the client's thread with the accepted fencing token, when the worker accepts starts
     * @param onLost called once on the client's thread, when the worker instance has ended
     * @param metrics counts finished runs and unanswered calls; it must outlive the client
     * @param log logger; it must outlive the client
     */
    worker_client(const worker_client_settings &settings,
                  std::function<void(std::uint64_t token)> onReady,
                  std::function<void()> onLost,
                  run_metrics &metrics,
                  logger &log);
    ~worker_client() override;

    worker_client(const worker_client &) = delete;
    worker_client &operator=(const worker_client &) = delete;

    /**
     * Sets the ring to which finished runs are reported. It must be called before the first post().
     * @param events ring of the decision thread; it must outlive the client
     */
    void connect(bounded_ring<agent_event> &events);

    bool post(call_endpoint &&call) override;
    bool post(const stop_call &stop) override;
    bool post(const confirm_home &home) override;
    void stop() override;

private:
    std::unique_ptr<detail::worker_client_private> d;
};

} // namespace teaselward
