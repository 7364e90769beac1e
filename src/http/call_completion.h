#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace teaselward
{

/** Result of an HTTP call to an endpoint, from which the outcome of the task is derived. */
struct call_completion {
    bool answered = false; ///< The complete response was received.
    bool timedOut = false; ///< The time limit passed; a failed connection attempt before it does not count.
    bool resultTooLarge = false; ///< The body exceeded the maximum size of a result (endpoint.result_limit).
    bool saysNotRun = false; ///< The response has the header "Teaselward-Not-Run: 1": the endpoint did not run the task.
    std::uint64_t bytesSent = 0; ///< Bytes of the request that the operating system accepted for sending; zero proves that nothing was sent.
    long status = 0; ///< HTTP status; zero if none was received. Can be set although the response is incomplete.
    std::string body{}; ///< Body of the response if answered, otherwise a description of the failure.
    std::chrono::microseconds duration{}; ///< Time from the start of the call to its end, including the connection attempt.
};

} // namespace teaselward
