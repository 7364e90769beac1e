#pragma once

#include "base/clock.h"
#include "core/reason.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>

namespace teaselward
{

/** Received request. */
struct http_request {
    std::string method;
    std::string path; ///< Decoded, without the query.
    std::string waitText; ///< Value of the query parameter wait_ms; empty if there is none.
    std::string authorization; ///< Value of the Authorization header.
    std::map<std::string, std::string, std::less<>> headers; ///< The headers of the request that the settings of the listener name.
    std::string body;
    reason bodyRefusal = reason::none; ///< Why the body was discarded: too_large, or overloaded if no memory is left for it.
    std::size_t discarded = 0; ///< Bytes of the body that were discarded.
    mono_time receivedAt; ///< Time when the headers were complete.
};

} // namespace teaselward
