#pragma once

#include "http/request_handler.h"

#include <functional>
#include <string>

namespace teaselward
{

/**
 * HTTP handler of the readiness check, by which the platform's load balancer learns whether this process accepts new connections.
 * It also serves the metrics of the client requests.
 */
class readiness_api : public request_handler
{
public:
    /**
     * Creates the handler.
     * @param isReady called for each readiness check, on the listener's thread
     * @param metrics returns the metrics in the text exposition format; called on the same thread
     */
    readiness_api(std::function<bool()> isReady, std::function<std::string()> metrics);

    bool handle(http_exchange &exchange) override;
    http_response refuseBody(reason why) override;
    void finished(const http_response &response, bool delivered, std::chrono::microseconds duration) override;

private:
    std::function<bool()> m_isReady;
    std::function<std::string()> m_metrics;
};

} // namespace teaselward
