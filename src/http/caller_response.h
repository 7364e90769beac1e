#pragma once

#include <chrono>
#include <string>

namespace teaselward
{

/** What a caller got for one HTTP request. */
struct caller_response {
    bool answered = false; ///< The whole response was received.
    long status = 0; ///< HTTP status; zero if there is none.
    std::string body;
    std::chrono::microseconds connectTime{}; ///< Time until the connection was open; about one round trip.
};

} // namespace teaselward
