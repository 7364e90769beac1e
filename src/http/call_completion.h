#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace teaselward
{

/** What is known about a call to an endpoint after it has ended. */
struct call_completion {
    bool answered = false; ///< The whole response was received.
    bool timedOut = false; ///< The time limit of the call ended it.
    bool resultTooLarge = false; ///< The response was cut off at the limit of a result.
    bool saysNotRun = false; ///< The response states that the endpoint did not run the task.
    std::uint64_t bytesSent = 0; ///< Bytes of the request that the system accepted for sending.
    long status = 0; ///< HTTP status; zero if none was received.
    std::string body{}; ///< Body of the response, or a text about the failure.
    std::chrono::microseconds duration{};
};

} // namespace teaselward
