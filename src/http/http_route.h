#pragma once

#include "http/http_exchange.h"

#include <string_view>

namespace teaselward
{

/** Entry of a route table. */
template<typename Api>
struct http_route {
    std::string_view method;
    std::string_view pattern; ///< Path; one '*' matches an argument without '/'.
    bool (Api::*handle)(http_exchange &exchange, std::string_view argument); ///< Returns as request_handler::handle().
};

} // namespace teaselward
