#pragma once

#include "http/request_handler.h"

#include <functional>

namespace teaselward
{

/** Answers the platform's balancer whether this process takes new connections. */
class readiness_api : public request_handler
{
public:
    /**
     * Creates the handler.
     * @param isReady asked for each request, by the listener's thread
     */
    explicit readiness_api(std::function<bool()> isReady);

    bool handle(http_exchange &exchange) override;
    http_response refuseBody(reason why) override;
    void finished(const http_response &response, bool delivered, std::chrono::microseconds duration) override;

private:
    std::function<bool()> m_isReady;
};

} // namespace teaselward
