#pragma once

#include "agent/run/endpoint_announcement.h"
#include "http/request_handler.h"
#include "log/logger.h"

#include <functional>
#include <string>

namespace teaselward
{

/** HTTP handler of an agent: receives the heartbeats of the worker on the same machine and serves the agent's metrics. */
class heartbeat_api : public request_handler
{
public:
    /** Receives a heartbeat. Called on the listener's thread. */
    using announced_function = std::function<void(endpoint_announcement announcement)>;
    /** Receives the id of a worker that withdraws itself. Called on the listener's thread. */
    using withdrawn_function = std::function<void(std::string id)>;
    /** Returns the metrics in the text exposition format. Called on the listener's thread. */
    using metrics_function = std::function<std::string()>;

    /**
     * Creates the handler.
     * @param announced called for each heartbeat
     * @param withdrawn called for each withdrawal
     * @param metrics called for each request of the metrics
     * @param log logger; it must outlive the handler
     */
    heartbeat_api(announced_function announced, withdrawn_function withdrawn, metrics_function metrics, logger &log);

    bool handle(http_exchange &exchange) override;
    http_response refuseBody(reason why) override;
    void finished(const http_response &response, bool delivered, std::chrono::microseconds duration) override;

private:
    announced_function m_announced;
    withdrawn_function m_withdrawn;
    metrics_function m_metrics;
    logger &m_log;
};

} // namespace teaselward
