#pragma once

#include <chrono>
#include <string>

namespace teaselward
{

/** Behaviour of the stand-in for an endpoint. */
struct endpoint_stub_settings {
    std::string listen = "127.0.0.1:0"; ///< Address as IP:PORT.
    std::chrono::milliseconds delay{}; ///< Run time of each task.
    bool delayFromPayload = false; ///< The payload states the run time in milliseconds as a decimal number.
    bool fail = false; ///< Each task ends with status 500.
    bool decline = false; ///< Each task is refused as not run.
    bool hangUp = false; ///< Each connection is closed after the request was read.
};

} // namespace teaselward
