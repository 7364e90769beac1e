#pragma once

#include "base/clock.h"
#include "core/reason.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>

namespace teaselward
{

/** Request as it was received. */
struct http_request {
    std::string method;
    std::string path; ///< Decoded, without the query.
    std::string waitText; ///< Value of the query argument wait_ms; empty if there is none.
    std::string authorization; ///< Value of the header of that name.
    std::map<std::string, std::string, std::less<>> headers; ///< Those that the settings of the listener name and the request has.
    std::string body;
    reason bodyRefusal = reason::none; ///< Why the body was discarded: too_large, or overloaded if no memory is left for it.
    std::size_t discarded = 0; ///< Bytes of the body that were not kept.
    mono_time receivedAt; ///< Time at which the headers were complete.
};

} // namespace teaselward
