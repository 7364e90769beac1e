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
    bool closesConnection = false; ///< The response has the header 'Connection: close'.
    std::string allow; ///< Methods that the path allows; set if the method was wrong.
    reason why = reason::none; ///< Outcome for the metrics.
};

} // namespace teaselward
