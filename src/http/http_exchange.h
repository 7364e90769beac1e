#pragma once

#include "http/http_request.h"
#include "http/http_response.h"

#include <optional>

struct MHD_Connection;

namespace teaselward
{

/** One request on a connection with its response. */
struct http_exchange {
    MHD_Connection *connection = nullptr;
    http_request request;
    std::optional<http_response> response; ///< Set before the connection is resumed.
    bool dispatched = false; ///< The request is complete and was passed to its handler.
    bool peerClosed = false; ///< The client had closed the connection before the response was ready.
};

/**
 * Suspends the connection of a request, so that it waits without occupying a thread. Called on the listener's thread.
 * @param exchange the request
 */
void suspendExchange(http_exchange &exchange);

/**
 * Sets the response of a request whose connection is suspended and resumes the connection. Any thread may call it; the
 * exchange may have been deleted when the function returns.
 * @param exchange the request
 * @param response the response
 */
void resumeExchange(http_exchange &exchange, http_response response);

} // namespace teaselward
