#pragma once

#include "core/reason.h"
#include "core/request_origin.h"

#include <chrono>

namespace teaselward
{

/** A request of a listener is complete. */
struct request_finished {
    request_origin origin = request_origin::caller;
    reason why = reason::none; ///< Outcome that the response stated.
    bool delivered = false; ///< The complete response was sent.
    std::chrono::microseconds duration{}; ///< Time since the headers were complete.
};

} // namespace teaselward
