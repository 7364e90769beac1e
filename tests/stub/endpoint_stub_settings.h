#pragma once

#include <chrono>
#include <string>

namespace teaselward
{

/** Settings of endpoint_stub. */
struct endpoint_stub_settings {
    std::string listen = "127.0.0.1:0"; ///< Address as IP:PORT; port 0 selects a free port.
    std::chrono::milliseconds delay{}; ///< Run time of each task.
    bool delayFromPayload = false; ///< The payload is the run time in milliseconds, a decimal number; replaces `delay`.
    bool fail = false; ///< Each task fails with status 500.
    bool decline = false; ///< Each task is declined with status 503 and the header Teaselward-Not-Run.
    bool hangUp = false; ///< Each connection is closed instead of sending a response.
};

} // namespace teaselward
