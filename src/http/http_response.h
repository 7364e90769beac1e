#pragma once

#include "core/reason.h"

#include <chrono>
#include <string>

namespace teaselward
{

/** Response to a request. */
struct http_response {
    unsigned status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::chrono::milliseconds retryAfter{}; ///< Sent as Retry-After, rounded up to seconds; zero for none.
    bool closesConnection = false; ///< The client is told to send its next request on another connection.
    std::string allow; ///< Methods of the path if the method was wrong.
    reason why = reason::none; ///< Outcome for the metrics.
};

} // namespace teaselward
