#pragma once

#include "agent/run/endpoint_announcement.h"
#include "http/request_handler.h"
#include "log/logger.h"

#include <functional>
#include <string>

namespace teaselward
{

/** Takes the heartbeats of the worker beside an agent, and serves the metrics of the agent. */
class heartbeat_api : public request_handler
{
public:
    /** Receives a heartbeat, or the withdrawal of a worker by its id. Called by the listener's thread. */
    using announced_function = std::function<void(endpoint_announcement announcement)>;
    using withdrawn_function = std::function<void(std::string id)>;
    /** Writes the metrics as text. Called by the listener's thread. */
    using metrics_function = std::function<std::string()>;

    /**
     * Creates the handler.
     * @param announced receives heartbeats
     * @param withdrawn receives withdrawals
     * @param metrics writes the metrics
     * @param log receiver of the log lines; it must outlive the handler
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
