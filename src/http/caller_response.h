#pragma once

#include <chrono>
#include <string>

namespace teaselward
{

/** Response to one HTTP request of a caller. */
struct caller_response {
    bool answered = false; ///< The complete response was received.
    long status = 0; ///< HTTP status; zero if there is none.
    std::string body;
    std::chrono::microseconds connectTime{}; ///< Time to open the connection; about one round trip.
};

} // namespace teaselward
