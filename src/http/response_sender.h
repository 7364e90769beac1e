#pragma once

#include "http/http_exchange.h"

namespace teaselward
{

/**
 * Queues the response of an exchange with its headers. Called on the listener's thread.
 * @param exchange the exchange; its response is set and stays unchanged until the exchange ends
 * @return false if libmicrohttpd cannot queue the response
 */
bool sendResponse(http_exchange &exchange);

/**
 * Checks whether the client has closed its side of the connection. A write cannot detect that: the first write afterwards succeeds.
 * @param exchange the exchange
 * @return whether the client will send no more bytes
 */
bool isClosedByPeer(const http_exchange &exchange);

} // namespace teaselward
