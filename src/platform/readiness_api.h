#pragma once

#include "http/request_handler.h"

#include <functional>
#include <string>

namespace teaselward
{

/** Answers the platform's balancer whether this process takes new connections, and serves the metrics of its clients. */
class readiness_api : public request_handler
{
public:
    /**
     * Creates the handler.
     * @param isReady asked for each request, by the listener's thread
     * @param metrics writes the metrics as text, asked by the same thread
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
