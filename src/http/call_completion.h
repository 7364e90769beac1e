#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace teaselward
{

/** Result of an HTTP call to an endpoint, from which the outcome of the task is derived. */
struct call_completion {
    bool answered = false; ///< The complete response was received.
    bool timedOut = false; ///< The call exceeded its time limit.
    bool resultTooLarge = false; ///< The response exceeded the result limit.
    bool saysNotRun = false; ///< The response has the header that says the endpoint did not run the task.
    std::uint64_t bytesSent = 0; ///< Bytes of the request that the operating system accepted for sending.
    long status = 0; ///< HTTP status; zero if none was received.
    std::string body{}; ///< Body of the response, or a description of the failure.
    std::chrono::microseconds duration{};
};

} // namespace teaselward
