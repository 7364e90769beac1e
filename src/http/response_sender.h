#pragma once

#include "http/http_exchange.h"

namespace teaselward
{

/**
 * Queues the response of an exchange with its headers. Called by the listener's thread.
 * @param exchange the exchange; its response is set and stays unchanged until the exchange ends
 * @return false if the library has no memory left
 */
bool sendResponse(http_exchange &exchange);

/**
 * Tells whether the client has closed its side. Writing alone would not tell: the first write after that succeeds.
 * @param exchange the exchange
 * @return whether the client will send no more bytes
 */
bool isClosedByPeer(const http_exchange &exchange);

} // namespace teaselward
