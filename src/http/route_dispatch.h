#pragma once

#include "http/answer_codec.h"
#include "http/http_route.h"
#include "http/path_pattern.h"

#include <span>
#include <string>
#include <utility>

namespace teaselward
{

/**
 * Passes a request to the handler of its route. An unknown path and a wrong method are refused.
 * @param routes the table
 * @param api object whose members handle the requests
 * @param exchange the request
 * @return as request_handler::handle()
 */
template<typename Api>
bool dispatchRoute(std::span<const http_route<Api>> routes, Api &api, http_exchange &exchange)
{
    constexpr unsigned notFound = 404;
    constexpr unsigned methodNotAllowed = 405;
    std::string allowed;
    for (const http_route<Api> &route : routes) {
        const auto argument = matchPath(route.pattern, exchange.request.path);
        if (!argument) {
            continue;
        }
        if (route.method == exchange.request.method) {
            return (api.*route.handle)(exchange, *argument);
        }
        allowed += (allowed.empty() ? "" : ", ") + std::string(route.method);
    }
    http_response response = encodeRefusal(reason::malformed, true, allowed.empty() ? "unknown path" : "wrong method");
    response.status = allowed.empty() ? notFound : methodNotAllowed;
    response.allow = std::move(allowed);
    exchange.response = std::move(response);
    return true;
}

} // namespace teaselward
