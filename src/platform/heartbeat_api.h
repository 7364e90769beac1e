#pragma once

#include "agent/run/endpoint_announcement.h"
#include "http/request_handler.h"
#include "log/decision_log.h"

#include <functional>
#include <string>

namespace teaselward
{

/** Takes the heartbeats of the worker beside an agent. */
class heartbeat_api : public request_handler
{
public:
    /** Receives a heartbeat, or the withdrawal of a worker by its id. Called by the listener's thread. */
    using announced_function = std::function<void(endpoint_announcement announcement)>;
    using withdrawn_function = std::function<void(std::string id)>;

    /**
     * Creates the handler.
     * @param announced receives heartbeats
     * @param withdrawn receives withdrawals
     * @param log receiver of the log lines; it must outlive the handler
     */
    heartbeat_api(announced_function announced, withdrawn_function withdrawn, decision_log &log);

    bool handle(http_exchange &exchange) override;
    http_response refuseBody(reason why) override;
    void finished(const http_response &response, bool delivered, std::chrono::microseconds duration) override;

private:
    announced_function m_announced;
    withdrawn_function m_withdrawn;
    decision_log &m_log;
};

} // namespace teaselward
