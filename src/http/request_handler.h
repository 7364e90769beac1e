#pragma once

#include "http/http_exchange.h"
#include "http/http_response.h"

#include <chrono>

namespace teaselward
{

/** Handles the complete requests of a listener. All calls are made on the listener's thread. */
class request_handler
{
public:
    virtual ~request_handler() = default;

    /**
     * Handles a complete request. The handler either sets the response, or suspends the connection so that another thread sets
     * the response and resumes the connection.
     * @param exchange the request; it stays valid until its response was sent
     * @return whether the response is set; otherwise the connection is suspended
     */
    virtual bool handle(http_exchange &exchange) = 0;

    /**
     * Creates the response to a request whose body was discarded.
     * @param why too_large, or overloaded if no memory is left for it
     * @return the response
     */
    virtual http_response refuseBody(reason why) = 0;

    /**
     * Called when an exchange has ended.
     * @param response the response; its reason is the outcome
     * @param delivered whether the complete response was sent
     * @param duration time since the headers were complete
     */
    virtual void finished(const http_response &response, bool delivered, std::chrono::microseconds duration) = 0;
};

} // namespace teaselward
