#include "http/http_exchange.h"

#include <microhttpd.h>

#include <utility>

namespace teaselward
{

void suspendExchange(http_exchange &exchange)
{
    MHD_suspend_connection(exchange.connection);
}

void resumeExchange(http_exchange &exchange, http_response response)
{
    exchange.response = std::move(response);
    MHD_resume_connection(exchange.connection);
}

} // namespace teaselward
